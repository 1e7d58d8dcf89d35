/**
 * Reads and drops the rest of a request whose answer is known. Closing a connection with unread bytes resets it, and the reset may overtake
 * the answer.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

/** Time for a caller to read the answer and to stop sending, ms. */
const maxDropMs = 1000;

/**
 * Drops the rest. Once the answer has been sent, behind those to earlier requests of the connection, the connection is closed if the rest has more than
 * `maxBytes` or takes too long; it can be used again otherwise. Until then, what is beyond `maxBytes` waits.
 */
export const dropRest = (req: IncomingMessage, res: ServerResponse, maxBytes: number): void => {
	let droppedBytes = 0;
	let timer: NodeJS.Timeout | undefined;
	const close = (): void => {
		req.socket.destroy();
	};

	const stop = (): void => {
		clearTimeout(timer);
	};

	req.on('data', (chunk: Uint8Array) => {
		droppedBytes += chunk.length;
		if (droppedBytes <= maxBytes) {
			return;
		}

		if (res.writableFinished) {
			close();
		} else {
			req.pause();
		}
	});
	req.once('end', stop);
	req.once('close', stop);
	res.once('finish', () => {
		if (!req.complete) {
			timer = setTimeout(close, maxDropMs);
			req.resume();
		}
	});
	req.resume();
};
