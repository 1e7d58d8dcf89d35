/**
 * Handing an admitted request to the endpoint, and saying truthfully what became of it.
 *
 * It uses the HTTP client of Node.js instead of undici, which takes the reset of a connection for the end of an answer without a length and chunks.
 */

import {
	Agent, request, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import {Readable} from 'node:stream';
import {
	ConnectTimeoutError, Header, isOwnHeader, wasNeverSent,
} from 'mastvalve-http';
import {
	MastvalveError, Outcome, RefusedError, UnknownOutcomeError,
} from 'mastvalve-types';
import {
	describeError, limitInformationalHeads, maxAnswerHeadBytes, watchForReset,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';

/** What is handed over. */
export type DispatchRequest = {
	url: string;
	method: string;
	headers: Record<string, string>;
	body: Uint8Array | undefined;
	signal: AbortSignal;
	/** The endpoint is a model engine, whose 429 and 503 mean that it did not run the request. */
	isEngine: boolean;
	/** Called when the connection failed behind a whole answer, as it does if bytes follow that belong to no request. */
	onSurplus: () => void;
};

/** The endpoint's answer, while its body is still coming. */
export type DispatchAnswer = {status: number; headers: Headers; body: Readable};

/** Headers that belong to one connection and are not passed on. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect', 'te', 'trailer', 'proxy-connection', Header.Clock]);

const refusedByEngine = new Set([404, 429, 503]);
const engineRetryAfterSeconds = 1;

/** Headers without those of the connection. */
export const copyHeaders = (headers: Iterable<[string, string]>): Record<string, string> =>
	Object.fromEntries([...headers].filter(([name]) => !connectionHeaders.has(name.toLowerCase())));

/** Headers of an endpoint's answer without those of the connection and mastvalve's own, which an entry takes for the sidecar's word. */
const toHeaders = (raw: IncomingHttpHeaders): Headers => {
	const headers = new Headers();
	Object.entries(raw).forEach(([name, value]) => {
		if (!connectionHeaders.has(name) && !isOwnHeader(name)) {
			[value ?? []].flat().forEach(item => {
				headers.append(name, item);
			});
		}
	});
	return headers;
};

/** Connect timeout, ms. */
const connectTimeoutMs = 1000;

/** Destroys a request whose connection isn't established in time. */
const limitConnectTime = (req: ClientRequest, address: string): void => {
	const timer = setTimeout(() => {
		req.destroy(new ConnectTimeoutError(address, connectTimeoutMs));
	}, connectTimeoutMs);
	req.once('socket', socket => {
		if (!socket.connecting) {
			clearTimeout(timer);
			return;
		}

		socket.once('connect', () => {
			clearTimeout(timer);
		});
	});
	req.once('close', () => {
		clearTimeout(timer);
	});
};

const bodilessStatuses = new Set([204, 304]);

/** Whether only the end of the connection tells where an answer ends: its head names no length, and it has no chunks. */
const endsWithConnection = ({statusCode, headers}: IncomingMessage, method: string): boolean =>
	method !== 'HEAD'
	&& !bodilessStatuses.has(statusCode ?? 0)
	&& headers['content-length'] === undefined
	&& !/\bchunked\b/iv.test(headers['transfer-encoding'] ?? '');

/** The chunks of a body; throws if it breaks off. An error of the connection behind the announced end is no part of the answer. */
async function * readBody(res: IncomingMessage, {method, onSurplus}: DispatchRequest, hasFailed: () => boolean): AsyncGenerator<Uint8Array> {
	yield * res as AsyncIterable<Uint8Array>;
	const isAnnounced = !endsWithConnection(res, method);
	if (res.complete && isAnnounced && hasFailed()) {
		onSurplus();
	}

	if (!res.complete || (!isAnnounced && hasFailed())) {
		throw new UnknownOutcomeError('The connection to the endpoint was reset before the whole answer was here.');
	}
}

/** Creates the agent for one endpoint. Each request has a connection of its own: endpoints need not echo its id, so a surplus answer on a kept connection would be taken for the answer to the next one. */
export const createDispatchAgent = (maxConnections: number): Agent => new Agent({keepAlive: false, maxSockets: maxConnections});

/** Hands a request over. */
export const dispatchRequest = async (dispatched: DispatchRequest, agent: Agent): Promise<Result<DispatchAnswer, MastvalveError>> =>
	new Promise(resolve => {
		const {url, method, headers, body, signal, isEngine} = dispatched;
		const req = request(url, {
			method, headers, signal, agent, maxHeaderSize: maxAnswerHeadBytes,
		});
		// The parser drops the fields beyond a thousand by default, the length of the body among them; the size of the head bounds their number.
		req.maxHeadersCount = 0;
		limitInformationalHeads(req);
		const hasFailed = watchForReset(req);
		limitConnectTime(req, url);
		req.once('error', error => {
			resolve(err(toDispatchError(error)));
		});
		req.once('response', res => {
			if (isEngine && refusedByEngine.has(res.statusCode ?? 0)) {
				res.resume();
				resolve(err(new RefusedError(`The engine refused it with ${res.statusCode}.`, engineRetryAfterSeconds, 'engine-refused')));
				return;
			}

			resolve(ok({status: res.statusCode ?? 0, headers: toHeaders(res.headers), body: Readable.from(readBody(res, dispatched, hasFailed), {objectMode: false})}));
		});
		req.end(body);
	});

const toDispatchError = (thrown: unknown): MastvalveError => wasNeverSent(thrown)
	? new MastvalveError('endpoint-unreachable', `The endpoint takes no connection: ${describeError(thrown)}.`, {status: 503, outcome: Outcome.NotRun, retryAfterSeconds: 1})
	: new UnknownOutcomeError(`The connection to the endpoint broke: ${describeError(thrown)}.`, {cause: thrown});
