/**
 * Sends one attempt to one endpoint and classifies its outcome by whether the request may have run.
 */

import {request, type IncomingMessage} from 'node:http';
import {
	assumeType, describeError, dropIdleConnections, limitInformationalHeads, maxAnswerHeadBytes, watchForReset,
} from 'mastvalve-utils';
import type {UpstreamAgent} from './upstream-agent.js';
import {watchSurplus} from './watch-surplus.js';

export enum ExchangeKind {
	/** The response head has arrived. */
	Answered = 'answered',
	/** No connection was established, so nothing was sent. */
	NotSent = 'not-sent',
	/** The request was sent and no response arrived; it may have run. */
	Lost = 'lost',
}

/**
 * Outcome of an attempt. `isBroken` is whether the connection has failed since the response head arrived, `hasSurplus` whether bytes have followed
 * the whole response.
 */
export type ExchangeOutcome
	= | {kind: ExchangeKind.Answered; res: IncomingMessage; cancel: () => void; isBroken: () => boolean; hasSurplus: () => boolean}
		| {kind: ExchangeKind.NotSent | ExchangeKind.Lost; reason: string; isConnectionRefused: boolean};

export type ExchangeOptions = {
	agent: UpstreamAgent;
	/** `ip:port`. */
	address: string;
	method: string;
	/** Path and query. */
	path: string;
	/** Alternating names and values, as in `rawHeaders`. */
	headers: string[];
	body: Uint8Array;
	/** Time limit for establishing a connection, ms. */
	connectTimeoutMs: number;
	/** Aborts when the caller disconnects or the deadline passes. */
	signal: AbortSignal;
};

/**
 * Time without a response head after which a reused connection is presumed dead, ms. The idle connections to the same endpoint are
 * then closed; the attempt itself continues. Longer than engines with free slots take to start responding (0.1 to 0.5 s).
 */
const staleConnectionMs = 600;

/** Returns why a connection failed; Node's parser doesn't name the bound. */
const describeFailure = (error: NodeJS.ErrnoException): string =>
	(error.code === 'HPE_HEADER_OVERFLOW' ? `a head of more than ${maxAnswerHeadBytes} bytes` : describeError(error));

/** Sends an attempt; the promise never rejects. */
export const exchange = async ({agent, address, method, path, headers, body, connectTimeoutMs, signal}: ExchangeOptions): Promise<ExchangeOutcome> =>
	new Promise(resolve => {
		const [host, port] = address.split(':');
		const req = request({
			host, port, method, path, agent, headers, setHost: false, maxHeaderSize: maxAnswerHeadBytes,
		});
		// Node drops fields beyond a thousand, the identity of the request among them; the size of the head bounds their number.
		req.maxHeadersCount = 0;
		limitInformationalHeads(req);
		let isSent = false;
		const hasFailed = watchForReset(req);
		const hasSurplus = watchSurplus(req);
		let reason = '';
		let isConnectionRefused = false;
		const cancel = (): void => {
			req.destroy();
		};

		const connectTimer = setTimeout(() => {
			if (!isSent) {
				reason = `no connection within ${connectTimeoutMs} ms`;
				req.destroy();
			}
		}, connectTimeoutMs);
		const staleTimer = setTimeout(() => {
			if (req.reusedSocket) {
				dropIdleConnections(agent, address);
			}
		}, staleConnectionMs);
		const onAbort = (): void => {
			reason ||= 'given up';
			req.destroy();
		};

		signal.addEventListener('abort', onAbort, {once: true});
		req.once('socket', socket => {
			if (socket.connecting) {
				socket.once('connect', () => {
					isSent = true;
				});
			} else {
				isSent = true;
			}
		});
		req.on('error', error => {
			isConnectionRefused = assumeType<NodeJS.ErrnoException>(error).code === 'ECONNREFUSED';
			reason ||= describeFailure(error);
		});
		req.once('close', () => {
			clearTimeout(connectTimer);
			clearTimeout(staleTimer);
			signal.removeEventListener('abort', onAbort);
			resolve({kind: isSent ? ExchangeKind.Lost : ExchangeKind.NotSent, reason: reason || 'the connection closed', isConnectionRefused});
		});
		req.once('response', res => {
			clearTimeout(connectTimer);
			clearTimeout(staleTimer);
			agent.recordKeepAlive(res);
			if (!req.writableFinished) {
				// The endpoint responded before it had read the whole request. The connection can't be reused: the rest of the body
				// would be parsed as the next request.
				res.once('end', cancel);
			}

			// Node also ends a body without a declared length when the connection is reset. The error is emitted before that end,
			// so `isBroken` distinguishes the two.
			resolve({
				kind: ExchangeKind.Answered, res, cancel, isBroken: hasFailed, hasSurplus,
			});
		});
		req.end(body);
	});
