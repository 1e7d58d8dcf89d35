/**
 * Serving an application on one address, and stopping without cutting anyone off.
 */

import type {Server} from 'node:http';
import {serve} from '@hono/node-server';
import type {Hono} from 'hono';
import {MastvalveError} from 'mastvalve-types';
import {
	describeError, assumeType, guardConnections, type ConnectionFault,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';

/** Why a program can't listen. */
export class ListenError extends MastvalveError {
	constructor(listen: string, thrown: unknown) {
		const isTaken = assumeType<{code?: string}>(thrown).code === 'EADDRINUSE';
		super('listen', `Can't listen on ${listen}: ${isTaken ? 'another process listens there. End it, or set another address in the settings' : describeError(thrown)}.`, {cause: thrown});
		this.name = 'ListenError';
	}
}

/** A server that listens. */
export type RunningServer = {
	/** `ip:port`, with the real port when the settings had 0. */
	address: string;
	/** Takes no new connections, ends when all requests in progress have their answers. */
	drain: () => Promise<void>;
	/** Ends at once. */
	close: () => Promise<void>;
};

/** Idle keep-alive connections are closed after this, ms; longer than clients keep theirs. */
const keepAliveTimeoutMs = 65_000;

/** Options of a server. */
export type ServerOptions = {
	/** Called for each connection that fails, or whose bytes can't be read as requests. */
	onFault?: (fault: ConnectionFault) => void;
	/** Longest time for a head from its first byte on, ms; a caller sends one at once. */
	headTimeoutMs?: number;
	/** Heads that are late are looked for this often, ms. */
	headCheckMs?: number;
};

const defaultHeadTimeoutMs = 60_000;
const defaultHeadCheckMs = 30_000;

/** While draining, connections that became idle are closed this often, ms. */
const closeIdleMs = 50;

const splitAddress = (listen: string): {hostname: string; port: number} => {
	const at = listen.lastIndexOf(':');
	return {hostname: listen.slice(0, at).replaceAll(/[\[\]]/gv, ''), port: Number(listen.slice(at + 1))};
};

/** Starts to listen on `ip:port`. */
export const startServer = async (app: Hono, listen: string, options: ServerOptions = {}): Promise<Result<RunningServer, ListenError>> =>
	new Promise(resolve => {
		const {hostname, port} = splitAddress(listen);
		const server = assumeType<Server>(serve({
			fetch: app.fetch,
			hostname,
			port,
			serverOptions: {
				keepAliveTimeout: keepAliveTimeoutMs,
				headersTimeout: options.headTimeoutMs ?? defaultHeadTimeoutMs,
				connectionsCheckingInterval: options.headCheckMs ?? defaultHeadCheckMs,
			},
		}));
		guardConnections(server, options.onFault ?? (() => undefined));
		server.once('error', thrown => {
			resolve(err(new ListenError(listen, thrown)));
		});
		server.once('listening', () => {
			const bound = server.address();
			const address = bound && typeof bound === 'object' ? `${hostname}:${bound.port}` : listen;
			resolve(ok({address, drain: async () => drainServer(server), close: async () => closeServer(server)}));
		});
	});

const drainServer = async (server: Server): Promise<void> => {
	// Callers that keep a connection learn with their next answer that it ends.
	server.prependListener('request', (_req, res) => {
		res.setHeader('connection', 'close');
	});
	const closed = new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	// Node closes the connections that are idle now; those that are busy become idle later.
	const timer = setInterval(() => {
		server.closeIdleConnections();
	}, closeIdleMs);
	await closed;
	clearInterval(timer);
};

const closeServer = async (server: Server): Promise<void> => {
	const closed = drainServer(server);
	server.closeAllConnections();
	await closed;
};
