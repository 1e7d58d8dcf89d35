/**
 * Reads the body of an answer that isn't passed on, so that its connection can be used again.
 */

import type {IncomingMessage} from 'node:http';

/** Most bytes that are read for that: far more than refusals have; a new connection costs less than reading on. */
export const maxDiscardedBytes = 65_536;

/** Reads a body and drops it; `onExceeded` is called once, when it has more than `maxDiscardedBytes`. */
export const discardBody = (res: IncomingMessage, onExceeded: () => void): void => {
	let received = 0;
	const onData = (chunk: Uint8Array): void => {
		received += chunk.length;
		if (received > maxDiscardedBytes) {
			res.off('data', onData);
			onExceeded();
		}
	};

	res.on('data', onData);
};
