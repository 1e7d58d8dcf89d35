/**
 * The other end of calls between mastvalve's own processes.
 */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type MastvalveError} from 'mastvalve-types';
import {collectBytes, describeError, toMastvalveError} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {decodeBody, encodeBody} from './peer-body.js';

/** Answers one path; the signal aborts when the caller has gone. */
export type PeerHandler = (body: unknown, signal: AbortSignal) => Promise<Result<unknown, MastvalveError>>;

/** Connections that rest are closed after this, ms. */
const idleConnectionMs = 30_000;

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
	const {bytes, headers} = encodeBody(body);
	res.writeHead(status, headers);
	res.end(bytes);
};

const handle = async (handlers: ReadonlyMap<string, PeerHandler>, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const handler = handlers.get(req.url ?? '');
	if (!handler) {
		req.resume();
		sendJson(res, 404, {message: `there is no call ${req.url}`});
		return;
	}

	const ending = new AbortController();
	res.once('close', () => {
		ending.abort();
	});
	const body = decodeBody(await collectBytes(req), req.headers['content-encoding']);
	const result = await handler(body, ending.signal);
	if (result.isOk()) {
		sendJson(res, 200, result.value);
	} else {
		sendJson(res, result.error.status, {code: result.error.code, message: result.error.message});
	}
};

/** Listens on `ip:port`. */
export const startPeerServer = async (listen: string, handlers: ReadonlyMap<string, PeerHandler>, onError: (message: string) => void): Promise<Result<Server, MastvalveError>> =>
	new Promise(resolve => {
		const [host, port] = listen.split(':');
		const server = createServer((req, res) => {
			handle(handlers, req, res).catch((error: unknown) => {
				onError(`a peer's call ${req.url} failed: ${describeError(error)}`);
				res.destroy();
			});
		});
		server.keepAliveTimeout = idleConnectionMs;
		server.requestTimeout = 0;
		server.once('error', error => {
			resolve(err(toMastvalveError(error)));
		});
		server.listen(Number(port), host, () => {
			resolve(ok(server));
		});
	});
