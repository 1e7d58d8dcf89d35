/**
 * The one tRPC instance, and how routers are served and called.
 */

import {createTRPCClient, httpBatchLink, type TRPCClient} from '@trpc/client';
import {initTRPC, type AnyTRPCRouter} from '@trpc/server';
import {fetchRequestHandler} from '@trpc/server/adapters/fetch';
import type {Hono} from 'hono';
import {
	assumeType, formatReading, parseReading, type HybridClock,
} from 'mastvalve-utils';
import {Agent, fetch as undiciFetch, type RequestInit} from 'undici';
import {Header} from '../headers.js';

const t = initTRPC.create();

/** Makes routers. */
export const createRouter = t.router;

/** Begins a procedure. */
export const {procedure} = t;

const rpcPath = '/rpc';

/** Calls in one HTTP request at the most. */
const maxBatch = 64;

/** Serves a router under `/rpc`. */
export const mountRouter = (app: Hono, router: AnyTRPCRouter): void => {
	app.all(`${rpcPath}/*`, async c => fetchRequestHandler({endpoint: rpcPath, req: c.req.raw, router}));
};

/** Connections for calls between our processes. */
const agent = new Agent({keepAliveTimeout: 30_000, connect: {timeout: 1000}, connections: 8});

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
					return res;
				},
			}),
		],
	});
