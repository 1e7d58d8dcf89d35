/**
 * Tells a connection that was reset from one that was closed, for answers whose end only their connection tells.
 */

import type {ClientRequest} from 'node:http';

/** Watches the connection of a request; the returned function tells whether it has been reset or has failed. */
export const watchForReset = (req: ClientRequest): (() => boolean) => {
	let hasFailed = false;
	req.on('error', () => {
		hasFailed = true;
	});
	req.once('socket', socket => {
		// Data that arrives together with a reset is reported as data followed by a normal end, since libuv treats a hang-up after
		// a short read as EOF. A socket that ended normally still has a remote address; one that was reset has none.
		const onEnd = (): void => {
			hasFailed ||= socket.remoteAddress === undefined;
		};

		socket.prependListener('end', onEnd);
		req.once('close', () => {
			socket.off('end', onEnd);
		});
	});
	return () => hasFailed;
};
