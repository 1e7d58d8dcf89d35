/**
 * Whether a caller still waits for its answer.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

/**
 * Calls back once when the answer is over, or the caller's connection is closed. Node tells of a closed connection only
 * the answer whose turn it is there; the ones behind it would go on being made for nobody.
 */
export const onceOver = ({socket}: IncomingMessage, res: ServerResponse, callback: () => void): void => {
	let isOver = false;
	const done = (): void => {
		// One of the two may be telling right now, and goes on to those that have just been taken off.
		if (isOver) {
			return;
		}

		isOver = true;
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
