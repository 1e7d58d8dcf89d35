/**
 * Reads and drops the rest of a request whose answer has been sent. Closing a connection with unread bytes resets it, and the reset may overtake
 * the answer.
 */

import type {IncomingMessage} from 'node:http';

/** Time for a caller to read the answer and to stop sending, ms. */
const maxDropMs = 1000;

/** Drops the rest; the connection is closed if it has more than `maxBytes` or takes too long, and can be used again otherwise. */
export const dropRest = (req: IncomingMessage, maxBytes: number): void => {
	let droppedBytes = 0;
	const close = (): void => {
		req.socket.destroy();
	};

	const timer = setTimeout(close, maxDropMs);
	req.on('data', (chunk: Uint8Array) => {
		droppedBytes += chunk.length;
		if (droppedBytes > maxBytes) {
			close();
		}
	});
	req.once('close', () => {
		clearTimeout(timer);
	});
	req.once('end', () => {
		clearTimeout(timer);
	});
	req.resume();
};
