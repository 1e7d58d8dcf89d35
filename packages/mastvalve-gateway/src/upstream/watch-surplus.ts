/**
 * Tells whether bytes follow a whole answer on its connection. They belong to no request, so the connection is closed and they are dropped.
 *
 * Node's parser reports some of them as an error of the answer that is already whole, and drops others.
 */

import type {ClientRequest, IncomingMessage} from 'node:http';

/** Watches the connection of a request; the returned function tells whether bytes have followed its whole answer. */
export const watchSurplus = (req: ClientRequest): (() => boolean) => {
	let hasSurplus = false;
	let answer: IncomingMessage | undefined;
	req.once('response', res => {
		answer = res;
	});
	req.once('socket', socket => {
		let wasWhole = false;
		// Runs behind Node's own listener, which parses the bytes and destroys the socket where the parser finds bytes behind the answer.
		const onData = (): void => {
			const isWhole = answer?.complete ?? false;
			if (wasWhole || (isWhole && socket.destroyed)) {
				hasSurplus = true;
				socket.destroy();
			}

			wasWhole = isWhole;
		};

		socket.on('data', onData);
		req.once('close', () => {
			socket.off('data', onData);
		});
	});
	return () => hasSurplus;
};
