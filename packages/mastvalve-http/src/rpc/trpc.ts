/**
 * The one tRPC instance, and how routers are served and called.
 */

import {createTRPCClient, httpBatchLink, type TRPCClient} from '@trpc/client';
import {initTRPC, type AnyTRPCRouter} from '@trpc/server';
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import type {Hono} from 'hono';
import type {BadRequestError} from 'mastvalve-types';
import {
	assumeType, collectText, ExceededBoundError, formatReading, parseReading, type HybridClock,
} from 'mastvalve-utils';
import {ok, type Result} from 'neverthrow';
import {
	Agent, fetch as undiciFetch, type RequestInit, type Response as UndiciResponse,
} from 'undici';
import {Header} from '../headers.js';
import {limitBytes} from '../limit-bytes.js';
import {toProblemResponse} from '../problem-response.js';
import {readBody, type BodyBounds} from '../read-body.js';

const t = initTRPC.create();

/** Makes routers. */
export const createRouter = t.router;

/** Begins a procedure. */
export const {procedure} = t;

const rpcPath = '/rpc';

/** Calls in one HTTP request at the most. */
const maxBatch = 64;

/** A request whose body has been read within its bounds. */
const readRequest = async (req: Request, bounds: BodyBounds): Promise<Result<Request, BadRequestError>> => {
	if (req.method === 'GET') {
		return ok(req);
	}

	const body = await readBody(req, bounds);
	return body.map(bytes => new Request(req.url, {
		method: req.method, headers: req.headers, body: new Uint8Array(bytes), signal: req.signal,
	}));
};

/** Serves a router under `/rpc`. */
export const mountRouter = (app: Hono, router: AnyTRPCRouter, bounds: BodyBounds): void => {
	app.all(`${rpcPath}/*`, async c => {
		const read = await readRequest(c.req.raw, bounds);
		return read.isOk() ? fetchRequestHandler({endpoint: rpcPath, req: read.value, router}) : toProblemResponse(read.error);
	});
};

/** Connections for calls between our processes. */
const agent = new Agent({keepAliveTimeout: 30_000, connect: {timeout: 1000}, connections: 8});

/** Bytes of one answer. A configuration of some thousand endpoints has some MB; peers are programs of ours. */
const maxAnswerBytes = 67_108_864;

/** An answer that has been read within its bound. */
const readAnswer = async (res: UndiciResponse, url: string): Promise<Response> => {
	const createError = (): Error => new ExceededBoundError(`the answer of ${url} is larger than ${maxAnswerBytes} bytes`);
	const text = res.body ? await collectText(limitBytes(res.body, maxAnswerBytes, createError), maxAnswerBytes) : '';
	return new Response(text, {status: res.status, headers: {'content-type': res.headers.get('content-type') ?? ''}});
};

/** Makes a client for the router at `http://ip:port`. */
export const createRpcClient = <Router extends AnyTRPCRouter>(url: string, clock: HybridClock): TRPCClient<Router> =>
	createTRPCClient<AnyTRPCRouter>({
		links: [
			httpBatchLink({
				url: `${url}${rpcPath}`,
				maxItems: maxBatch,
				headers: () => ({[Header.Clock]: formatReading(clock.tick())}),
				async fetch(input, init) {
					const res = await undiciFetch(String(input), {...assumeType<RequestInit>(init), dispatcher: agent});
					clock.observe(parseReading(res.headers.get(Header.Clock) ?? undefined));
					return readAnswer(res, url);
				},
			}),
		],
	});
