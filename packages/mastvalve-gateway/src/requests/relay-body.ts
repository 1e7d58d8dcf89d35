/**
 * Relays the body of an endpoint's answer to the caller as it arrives.
 *
 * Of a resumable stream, only complete events are relayed, and the id of the last one is recorded.
 */

import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {AnswerReader} from '../memory/answer-reader.js';
import {findBodyEnd, findFraming, type AnswerEnd} from '../streams/answer-end.js';
import {EventStreamScanner} from '../streams/event-stream-scanner.js';
import {isEventStream} from '../streams/is-event-stream.js';
import type {Reply} from './reply.js';

const eventDelimiter = '\n\n';
/** Longest incomplete event that is held back, bytes. A stream with a longer one can't be resumed. */
const maxEventBytes = 131_072;
const idPattern = /^id: ?(?<id>.*)$/gmv;

/** Position of the caller in a resumable stream. */
export class StreamPosition {
	lastEventId: string | undefined;
	/** Whether an event was too long to be held back, so that the caller may have got part of it. */
	isLost = false;
	private partialEvent = Buffer.alloc(0);

	/** Bytes held back. */
	get heldBytes(): number {
		return this.partialEvent.length;
	}

	/** Returns the complete events and buffers the remainder. */
	takeCompleteEvents(chunk: Uint8Array): Uint8Array {
		if (this.isLost) {
			return chunk;
		}

		const bytes = Buffer.concat([this.partialEvent, chunk]);
		const at = bytes.lastIndexOf(eventDelimiter);
		const complete = at === -1 ? bytes.subarray(0, 0) : bytes.subarray(0, at + eventDelimiter.length);
		this.partialEvent = bytes.subarray(complete.length);
		if (this.partialEvent.length > maxEventBytes) {
			this.isLost = true;
			this.partialEvent = Buffer.alloc(0);
			return bytes;
		}

		this.lastEventId = [...complete.toString('latin1').matchAll(idPattern)].at(-1)?.groups?.id?.trim() ?? this.lastEventId;
		return complete;
	}

	/** Returns the buffered bytes at the end of a complete answer. */
	takeRemainder(): Uint8Array {
		const remainder = this.partialEvent;
		this.partialEvent = Buffer.alloc(0);
		return remainder;
	}

	/** Discards a partial event after a broken answer. */
	dropPartialEvent(): void {
		this.partialEvent = Buffer.alloc(0);
	}
}

export type RelayOptions = {
	/** Undefined for a stream that can't be resumed. */
	position: StreamPosition | undefined;
	/** Whether the connection to the endpoint has failed. */
	isBroken: () => boolean;
	reader: AnswerReader;
};

/** Relays a body with backpressure; resolves to how it ended. */
export const relayBody = async (res: IncomingMessage, reply: Reply, {position, isBroken, reader}: RelayOptions): Promise<AnswerEnd> =>
	new Promise(resolve => {
		const framing = findFraming(res);
		const scanner = isEventStream(res) ? new EventStreamScanner() : undefined;
		let received = 0;
		const settle = (isComplete: boolean): void => {
			resolve({
				framing, end: findBodyEnd(res, framing, isBroken()), bytes: received, events: scanner?.events, isInsideEvent: scanner?.isBetweenEvents === false, isComplete,
			});
		};

		res.on('data', (chunk: Uint8Array) => {
			received += chunk.length;
			scanner?.scan(chunk);
			const bytes = position ? position.takeCompleteEvents(chunk) : chunk;
			if (bytes.length > 0 && !reply.write(bytes)) {
				res.pause();
				reader.stop();
				reply.onDrain(() => {
					reader.resume();
					res.resume();
				});
			}
		});
		res.once('end', () => {
			const isComplete = res.complete && !isBroken();
			const remainder = position?.takeRemainder();
			if (isComplete && remainder && remainder.length > 0) {
				reply.write(remainder);
			}

			settle(isComplete);
		});
		res.once('error', () => {
			settle(false);
		});
		res.once('close', () => {
			settle(false);
		});
	});
