/**
 * Passes the body of an endpoint's answer to the caller as it arrives.
 *
 * For a stream that may go on elsewhere only whole events are passed, and the id of the last one is kept.
 */

import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Reply} from './reply.js';

const eventEnd = '\n\n';
const idPattern = /^id: ?(?<id>.*)$/gmv;

/** How far a stream is with the caller. */
export class StreamPosition {
	lastEventId: string | undefined;
	private partial = Buffer.alloc(0);

	/** The whole events so far; the rest waits. */
	take(chunk: Uint8Array): Uint8Array {
		const bytes = Buffer.concat([this.partial, chunk]);
		const at = bytes.lastIndexOf(eventEnd);
		const whole = at === -1 ? bytes.subarray(0, 0) : bytes.subarray(0, at + eventEnd.length);
		this.partial = bytes.subarray(whole.length);
		this.lastEventId = [...whole.toString('latin1').matchAll(idPattern)].at(-1)?.groups?.id?.trim() ?? this.lastEventId;
		return whole;
	}

	/** What is left at the end of a whole answer. */
	takeRest(): Uint8Array {
		const rest = this.partial;
		this.partial = Buffer.alloc(0);
		return rest;
	}

	/** Forgets the piece of an event that a broken answer left. */
	dropPartial(): void {
		this.partial = Buffer.alloc(0);
	}
}

/** Relays; resolves to true when the answer was whole. */
export const relayBody = async (res: IncomingMessage, reply: Reply, position: StreamPosition | undefined, isBroken: () => boolean): Promise<boolean> =>
	new Promise(resolve => {
		res.on('data', (chunk: Uint8Array) => {
			const bytes = position ? position.take(chunk) : chunk;
			if (bytes.length > 0 && !reply.write(bytes)) {
				res.pause();
				reply.onDrain(() => {
					res.resume();
				});
			}
		});
		res.once('end', () => {
			const isWhole = res.complete && !isBroken();
			const rest = position?.takeRest();
			if (isWhole && rest && rest.length > 0) {
				reply.write(rest);
			}

			resolve(isWhole);
		});
		res.once('error', () => {
			resolve(false);
		});
		res.once('close', () => {
			resolve(false);
		});
	});
