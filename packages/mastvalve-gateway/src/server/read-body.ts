/**
 * Reads a request body into memory, up to a size and a time limit.
 */

import type {IncomingMessage} from 'node:http';
import type {HeldBodies} from '../memory/held-bodies.js';
import {BodyBuffer} from './body-buffer.js';

/** Why a body was not read. */
export enum UnreadBody {
	/** It exceeds the largest size. */
	TooLarge = 'too-large',
	/** The entry holds too much for others. */
	NoRoom = 'no-room',
	/** No byte of it came for too long, or it was not whole when its caller's time was over. */
	TooSlow = 'too-slow',
	/** The entry is about to end. */
	Stopping = 'stopping',
	/** The caller disconnected before its end. */
	Broken = 'broken',
}

export type BodyLimits = {
	maxBytes: number;
	/** Longest time without a byte, ms. */
	idleMs: number;
	/** Longest time for the whole body, ms. */
	totalMs: number;
};

export type BodyContext = {
	heldBodies: HeldBodies;
	/** Aborts when the request is closed. */
	signal: AbortSignal;
	/** Aborts when the entry takes no more requests. */
	stopping: AbortSignal;
};

/** Returns the body, or why it was not read. The room that it takes is released when the request is closed. */
export const readBody = async (req: IncomingMessage, {maxBytes, idleMs, totalMs}: BodyLimits, {heldBodies, signal, stopping}: BodyContext): Promise<Uint8Array | UnreadBody> =>
	new Promise(resolve => {
		const body = new BodyBuffer();
		let size = 0;
		let takenBytes = 0;
		const settle = (outcome: Uint8Array | UnreadBody): void => {
			clearTimeout(totalTimer);
			clearTimeout(idleTimer);
			stopping.removeEventListener('abort', refuseStopping);
			resolve(outcome);
		};

		const refuse = (reason: UnreadBody): void => {
			req.off('data', add);
			body.clear();
			settle(reason);
		};

		const add = (chunk: Uint8Array): void => {
			idleTimer.refresh();
			size += chunk.length;
			if (size > maxBytes) {
				refuse(UnreadBody.TooLarge);
				return;
			}

			if (signal.aborted || !heldBodies.take(chunk.length)) {
				refuse(UnreadBody.NoRoom);
				return;
			}

			takenBytes += chunk.length;
			body.append(chunk);
		};

		const refuseSlow = (): void => {
			refuse(UnreadBody.TooSlow);
		};

		const refuseStopping = (): void => {
			refuse(UnreadBody.Stopping);
		};

		stopping.addEventListener('abort', refuseStopping);
		const totalTimer = setTimeout(refuseSlow, totalMs);
		const idleTimer = setTimeout(refuseSlow, idleMs);
		signal.addEventListener('abort', () => {
			heldBodies.release(takenBytes);
			takenBytes = 0;
		}, {once: true});
		if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
			settle(UnreadBody.TooLarge);
			return;
		}

		req.on('data', add);
		req.once('end', () => {
			settle(body.take());
		});
		req.once('close', () => {
			settle(UnreadBody.Broken);
		});
	});
