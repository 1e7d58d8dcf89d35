/**
 * Server for calls between the processes of mastvalve.
 */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type MastvalveError} from 'mastvalve-types';
import {
	collectBytes, describeConnectionFault, describeError, guardConnections, toMastvalveError,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {decodeBody, encodeBody, maxPeerBodyBytes} from './peer-body.js';

/** Handles the calls of one path; the signal aborts when the caller disconnects. */
export type PeerHandler = (body: unknown, signal: AbortSignal) => Promise<Result<unknown, MastvalveError>>;

/** Lifetime of an idle connection, ms. */
const keepAliveMs = 30_000;

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
	const {bytes, headers} = encodeBody(body);
	res.writeHead(status, headers);
	res.end(bytes);
};

const handleRequest = async (handlers: ReadonlyMap<string, PeerHandler>, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const handler = handlers.get(req.url ?? '');
	if (!handler) {
		req.resume();
		sendJson(res, 404, {message: `there is no call ${req.url}`});
		return;
	}

	const disconnect = new AbortController();
	res.once('close', () => {
		disconnect.abort();
	});
	const body = decodeBody(await collectBytes(req, maxPeerBodyBytes), req.headers['content-encoding']);
	const result = await handler(body, disconnect.signal);
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
			handleRequest(handlers, req, res).catch((error: unknown) => {
				onError(`peer call ${req.url} failed: ${describeError(error)}`);
				res.destroy();
			});
		});
		guardConnections(server, fault => {
			onError(describeConnectionFault(fault));
		});
		server.keepAliveTimeout = keepAliveMs;
		server.requestTimeout = 0;
		server.once('error', error => {
			resolve(err(toMastvalveError(error)));
		});
		server.listen(Number(port), host, () => {
			resolve(ok(server));
		});
	});
