/**
 * Streaming an engine's answer to the caller, whole or visibly broken.
 *
 * The stream counts as whole only with the engine's own end mark. When it breaks off before that, another endpoint
 * goes on after exactly the tokens that the caller has; when none can, the stream ends with an error event and a cut
 * connection, which no client takes for the end.
 */

import type {Readable} from 'node:stream';
import {assumeType} from 'mastvalve-utils';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {MastvalveError, UnknownOutcomeError} from 'mastvalve-types';
import type {Result} from 'neverthrow';
import {toAttemptError, type AttemptAnswer} from './attempt.js';

/** The engine's end mark. */
export const endMark = '[DONE]';

type Chunk = {choices?: Array<{delta?: {content?: string}; text?: string; finish_reason?: string | undefined}>};

/** Whether a chunk carries a token. */
export const carriesToken = (data: string): boolean => {
	const choice = assumeType<Chunk>(JSON.parse(data)).choices?.[0];
	return (choice?.delta?.content ?? choice?.text ?? '') !== '';
};

/** Characters of an event that isn't whole yet; one with a token has some hundreds. */
const maxEventLength = 262_144;

/** The events of one attempt, as their chunks come. */
async function * readEvents(body: Readable): AsyncGenerator<EventSourceMessage> {
	const waiting: EventSourceMessage[] = [];
	let isTooLarge = false;
	const parser = createParser({
		maxBufferSize: maxEventLength,
		onEvent(event) {
			waiting.push(event);
		},
		onError({type}) {
			isTooLarge ||= type === 'max-buffer-size-exceeded';
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of body) {
		parser.feed(decoder.decode(assumeType<Uint8Array>(chunk), {stream: true}));
		yield * waiting.splice(0);
		if (isTooLarge) {
			throw new UnknownOutcomeError(`An event of the engine's stream has more than ${maxEventLength} characters.`);
		}
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

/** What has reached the caller so far. */
type Progress = {tokens: number; failure: MastvalveError | undefined};

/** The bytes for the caller. Throws after the error event, so that the connection is cut. */
export async function * streamAnswer(first: AttemptAnswer, options: StreamOptions): AsyncGenerator<Uint8Array> {
	// Stays so when the caller hangs up and nothing below is run any more.
	const progress: Progress = {tokens: 0, failure: new MastvalveError('caller-left', 'The caller hung up.')};
	try {
		yield * streamFrom(first, progress, options);
	} finally {
		options.onEnd(progress.tokens, progress.failure);
	}
}

async function * streamFrom(answer: AttemptAnswer, progress: Progress, options: StreamOptions): AsyncGenerator<Uint8Array> {
	const failure = yield * relayAttempt(answer, progress, options);
	if (!failure) {
		progress.failure = undefined;
		return;
	}

	const next = failure.code !== 'deadline-passed' && options.mayResume() ? await options.resume(progress.tokens) : undefined;
	if (next?.isOk()) {
		yield * streamFrom(next.value, progress, options);
		return;
	}

	progress.failure = next?.isErr() ? next.error : failure;
	yield formatEvent(JSON.stringify({error: {message: progress.failure.message, type: progress.failure.code, code: progress.failure.outcome}}));
	throw progress.failure;
}

/** The events of one attempt; returns why it is not whole. */
async function * relayAttempt(answer: AttemptAnswer, progress: Progress, options: StreamOptions): AsyncGenerator<Uint8Array, MastvalveError | undefined> {
	let failure: MastvalveError | undefined = new UnknownOutcomeError('The engine\'s stream ended without its end mark.');
	try {
		for await (const event of readEvents(answer.body)) {
			yield formatEvent(event.data);
			if (event.data === endMark) {
				failure = undefined;
				break;
			}

			progress.tokens += carriesToken(event.data) ? 1 : 0;
		}
	} catch (error) {
		failure = toAttemptError(error);
	} finally {
		answer.cancel();
		options.onAttemptEnd(answer, failure);
	}

	return failure;
}
