/**
 * Detects the end of a response or the disconnection of its caller.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Calls back once when the response or the caller's connection is closed. With pipelined requests Node emits `close` only on the response
 * that is being written; without the listener on the socket the pending ones would be served to a disconnected caller.
 */
export const onceClosed = ({socket}: IncomingMessage, res: ServerResponse, callback: () => void): void => {
	let isClosed = false;
	const done = (): void => {
		// One emitter may be emitting now, and still calls listeners that were just removed.
		if (isClosed) {
			return;
		}

		isClosed = true;
		socket.off('close', done);
		res.off('close', done);
		callback();
	};

	socket.once('close', done);
	res.once('close', done);
	if (socket.destroyed) {
		done();
	}
};
