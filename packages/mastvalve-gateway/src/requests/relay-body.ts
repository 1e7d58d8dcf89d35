/**
 * Relays the body of an endpoint's answer to the caller as it arrives.
 *
 * An event stream that ends inside an event has been broken off, whatever frames it. Of a resumable one, only complete events are relayed.
 * Where no content type is declared, the framing goes before the content.
 */

import type {IncomingMessage} from 'node:http';
import type {AnswerReader} from '../memory/answer-reader.js';
import {
	BodyFraming, findBodyEnd, isBodyWhole, type AnswerEnd,
} from '../streams/answer-end.js';
import {EventStreamScanner} from '../streams/event-stream-scanner.js';
import {StreamContent} from '../streams/stream-content.js';
import type {StreamPosition} from '../streams/stream-position.js';
import type {Reply} from './reply.js';

export type RelayOptions = {
	content: StreamContent;
	framing: BodyFraming;
	/** Undefined for a stream that can't be resumed. */
	position: StreamPosition | undefined;
	/** Whether the connection to the endpoint has failed. */
	isBroken: () => boolean;
	reader: AnswerReader;
	/** Called when complete events are passed on, with their number so far. */
	onEvents: (events: number) => void;
};

/** Relays a body with backpressure; resolves to how it ended. */
export const relayBody = async (res: IncomingMessage, reply: Reply, {
	content, framing, position, isBroken, reader, onEvents,
}: RelayOptions): Promise<AnswerEnd> =>
	new Promise(resolve => {
		const scanner = content === StreamContent.None ? undefined : new EventStreamScanner();
		const mustEndBetweenEvents = content === StreamContent.Declared || framing === BodyFraming.Connection;
		let received = 0;
		const settle = (hasEnded: boolean): void => {
			const isInsideEvent = scanner?.isBetweenEvents === false;
			const isComplete = hasEnded && !(isInsideEvent && mustEndBetweenEvents);
			// Of a complete stream, what follows its last line end; of a broken one, part of an event.
			const remainder = position?.takeRemainder();
			if (isComplete && remainder && remainder.length > 0) {
				reply.write(remainder);
			}

			resolve({
				framing, end: findBodyEnd(res, framing, isBroken()), bytes: received, events: scanner?.events, isInsideEvent, isComplete,
			});
		};

		if (!scanner) {
			position?.lose();
		}

		res.on('data', (chunk: Uint8Array) => {
			received += chunk.length;
			const eventsBefore = scanner?.events ?? 0;
			const boundary = scanner?.scan(chunk) ?? chunk.length;
			if (scanner && scanner.events > eventsBefore) {
				onEvents(scanner.events);
			}

			const bytes = position ? position.take(chunk, boundary) : chunk;
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
			settle(isBodyWhole(res, framing, isBroken()));
		});
		res.once('error', () => {
			settle(false);
		});
		res.once('close', () => {
			settle(false);
		});
	});
