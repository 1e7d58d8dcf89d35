/**
 * Streaming an engine's answer to the caller, whole or visibly broken.
 *
 * The stream counts as whole only with the engine's own end mark. When it breaks off before that, another endpoint
 * goes on after exactly the tokens that the caller has; when none can, the stream ends with an error event and a cut
 * connection, which no client takes for the end.
 */

import type {Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {MastvalveError, UnknownOutcomeError} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {toAttemptError, type AttemptAnswer} from './attempt.js';

/** The engine's end mark. */
export const endMark = '[DONE]';

type Chunk = {choices?: Array<{delta?: {content?: string}; text?: string; finish_reason?: string | null}>};

/** Whether a chunk carries a token. */
export const carriesToken = (data: string): boolean => {
	const choice = (JSON.parse(data) as Chunk).choices?.[0];
	return (choice?.delta?.content ?? choice?.text ?? '') !== '';
};

/** The events of one attempt, as their chunks come. */
async function * readEvents(body: Readable): AsyncGenerator<EventSourceMessage> {
	const waiting: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			waiting.push(event);
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
		yield * waiting.splice(0);
	}
}

/** What streaming needs. */
export type StreamOptions = {
	/** Goes on after so many tokens at another endpoint. */
	resume: (tokensSent: number) => Promise<Result<AttemptAnswer, MastvalveError>>;
	/** Whether another attempt is allowed. */
	mayResume: () => boolean;
	/** An attempt is over. */
	onAttemptEnd: (answer: AttemptAnswer, error: MastvalveError | undefined) => void;
	/** The whole stream is over. */
	onEnd: (tokens: number, error: MastvalveError | undefined) => void;
};

const encoder = new TextEncoder();
const formatEvent = (data: string): Uint8Array => encoder.encode(`data: ${data}\n\n`);

/** The bytes for the caller. Throws after the error event, so that the connection is cut. */
export async function * streamAnswer(first: AttemptAnswer, options: StreamOptions): AsyncGenerator<Uint8Array> {
	let answer = first;
	let tokens = 0;
	let failure: MastvalveError | undefined = new MastvalveError('caller-left', 'The caller hung up.');
	try {
		for (;;) {
			let isWhole = false;
			let attemptFailure: MastvalveError | undefined;
			try {
				for await (const event of readEvents(answer.body)) {
					yield formatEvent(event.data);
					isWhole = event.data === endMark;
					if (isWhole) {
						break;
					}

					tokens += carriesToken(event.data) ? 1 : 0;
				}
			} catch (error) {
				attemptFailure = toAttemptError(error);
			}

			attemptFailure ??= isWhole ? undefined : new UnknownOutcomeError('The engine\'s stream ended without its end mark.');
			options.onAttemptEnd(answer, attemptFailure);
			if (!attemptFailure) {
				failure = undefined;
				return;
			}

			const next = attemptFailure.code !== 'deadline-passed' && options.mayResume() ? await options.resume(tokens) : undefined;
			if (!next || next.isErr()) {
				failure = next?.isErr() ? next.error : attemptFailure;
				yield formatEvent(JSON.stringify({error: {message: failure.message, type: failure.code, code: failure.outcome}}));
				throw failure;
			}

			answer = next.value;
		}
	} finally {
		answer.cancel();
		options.onEnd(tokens, failure);
	}
}
