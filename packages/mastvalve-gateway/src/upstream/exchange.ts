/**
 * One attempt at one endpoint: hands a request over and says truthfully what became of it.
 */

import {request, type IncomingMessage} from 'node:http';
import {assumeType, describeError, dropIdleConnections} from 'mastvalve-utils';
import type {UpstreamAgent} from './upstream-agent.js';

/** How an attempt went. */
export enum ExchangeKind {
	/** The head of an answer is here. */
	Answered = 'answered',
	/** Nothing was handed over. */
	NotSent = 'not-sent',
	/** It was handed over, and no answer came; it may have run. */
	Lost = 'lost',
}

/** The outcome of an attempt. */
export type ExchangeOutcome
	= | {kind: ExchangeKind.Answered; res: IncomingMessage; cancel: () => void; isBroken: () => boolean}
		| {kind: ExchangeKind.NotSent | ExchangeKind.Lost; reason: string; isRefused: boolean};

/** What an attempt needs. */
export type ExchangeOptions = {
	agent: UpstreamAgent;
	/** `ip:port`. */
	address: string;
	method: string;
	/** Path and query. */
	path: string;
	/** Flat list of names and values. */
	headers: string[];
	body: Uint8Array;
	/** A connection must be up in this time, ms. */
	connectMs: number;
	/** Aborts when the caller leaves or the time is over. */
	signal: AbortSignal;
};

/**
 * A kept connection without an answer for this long may be silent for good, so the others that rest are closed, ms. The
 * attempt itself goes on. Above the time in which engines with free slots begin to answer (0.1 to 0.5 s).
 */
const silentMs = 600;

/** Makes the attempt; never throws. */
export const exchange = async ({agent, address, method, path, headers, body, connectMs, signal}: ExchangeOptions): Promise<ExchangeOutcome> =>
	new Promise(resolve => {
		const [host, port] = address.split(':');
		const req = request({
			host, port, method, path, agent, headers, setHost: false,
		});
		let isSent = false;
		let hasFailed = false;
		let reason = '';
		let isRefused = false;
		const cancel = (): void => {
			req.destroy();
		};

		const timer = setTimeout(() => {
			if (!isSent) {
				reason = `no connection within ${connectMs} ms`;
				req.destroy();
			}
		}, connectMs);
		const silence = setTimeout(() => {
			if (req.reusedSocket) {
				dropIdleConnections(agent, address);
			}
		}, silentMs);
		const onAbort = (): void => {
			reason ||= 'given up';
			req.destroy();
		};

		signal.addEventListener('abort', onAbort, {once: true});
		req.once('socket', socket => {
			// Bytes and a reset that come together are read as bytes and a proper end (libuv takes a hang-up after a short
			// read for one). A connection that ended properly still has a peer; one that was reset has none.
			const onEnd = (): void => {
				hasFailed ||= socket.remoteAddress === undefined;
			};

			socket.prependListener('end', onEnd);
			req.once('close', () => {
				socket.off('end', onEnd);
			});
			if (socket.connecting) {
				socket.once('connect', () => {
					isSent = true;
				});
			} else {
				isSent = true;
			}
		});
		req.on('error', error => {
			hasFailed = true;
			isRefused = assumeType<NodeJS.ErrnoException>(error).code === 'ECONNREFUSED';
			reason ||= describeError(error);
		});
		req.once('close', () => {
			clearTimeout(timer);
			clearTimeout(silence);
			signal.removeEventListener('abort', onAbort);
			resolve({kind: isSent ? ExchangeKind.Lost : ExchangeKind.NotSent, reason: reason || 'the connection closed', isRefused});
		});
		req.once('response', res => {
			clearTimeout(timer);
			clearTimeout(silence);
			agent.noteAnswer(res);
			if (!req.writableFinished) {
				// An answer that came before the whole request was read: the rest may not be taken for the next request.
				res.once('end', cancel);
			}

			// Node ends a body without length also when the connection was reset; the error comes first and tells.
			resolve({
				kind: ExchangeKind.Answered, res, cancel, isBroken: () => hasFailed,
			});
		});
		req.end(body);
	});
