/**
 * Recognises answers whose body is an event stream that can be scanned.
 */

import type {IncomingMessage} from 'node:http';

const eventStreamPattern = /^\s*text\/event-stream\s*(?:;|$)/iv;
const bodilessStatuses = new Set([204, 304]);

/**
 * Whether the body is an event stream. One without a content type is, if its route is for streams; a compressed one can't be scanned.
 */
export const isEventStream = ({headers, statusCode = 0}: IncomingMessage, {method, isStreamRoute}: {method: string; isStreamRoute: boolean}): boolean => {
	const type = headers['content-type'];
	const isStream = type === undefined ? isStreamRoute : eventStreamPattern.test(type);
	const isPlain = (headers['content-encoding'] ?? 'identity').trim().toLowerCase() === 'identity';
	return isStream && isPlain && method !== 'HEAD' && !bodilessStatuses.has(statusCode);
};
