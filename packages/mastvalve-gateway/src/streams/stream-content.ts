/**
 * Recognises answers whose body is an event stream that can be scanned.
 */

import type {IncomingMessage} from 'node:http';

/** What is known of a body's content. */
export enum StreamContent {
	/** The answer declares an event stream. */
	Declared = 'declared',
	/** The answer declares nothing, and its route is for streams. */
	Assumed = 'assumed',
	/** No event stream, or a compressed one, which can't be scanned. */
	None = 'none',
}

const eventStreamPattern = /^\s*text\/event-stream\s*(?:;|$)/iv;
const bodilessStatuses = new Set([204, 304]);

/** Whether an answer to a request with this method may have a body. */
export const hasBody = ({statusCode = 0}: IncomingMessage, method: string): boolean => method !== 'HEAD' && !bodilessStatuses.has(statusCode);

const hasPlainBody = (res: IncomingMessage, method: string): boolean =>
	(res.headers['content-encoding'] ?? 'identity').trim().toLowerCase() === 'identity' && hasBody(res, method);

export const findStreamContent = (res: IncomingMessage, {method, isStreamRoute}: {method: string; isStreamRoute: boolean}): StreamContent => {
	if (!hasPlainBody(res, method)) {
		return StreamContent.None;
	}

	const type = res.headers['content-type'];
	if (type === undefined) {
		return isStreamRoute ? StreamContent.Assumed : StreamContent.None;
	}

	return eventStreamPattern.test(type) ? StreamContent.Declared : StreamContent.None;
};
