/**
 * Recognises answers whose body is an event stream that can be read.
 */

import type {IncomingMessage} from 'node:http';

const eventStreamPattern = /^\s*text\/event-stream\s*(?:;|$)/iv;

/** Whether the body is an event stream without a content coding; a compressed one can't be scanned. */
export const isEventStream = ({headers}: IncomingMessage): boolean =>
	eventStreamPattern.test(headers['content-type'] ?? '') && (headers['content-encoding'] ?? 'identity').trim().toLowerCase() === 'identity';
