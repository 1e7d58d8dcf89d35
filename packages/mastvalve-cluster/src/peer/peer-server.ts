/**
 * Server for calls between the processes of mastvalve.
 */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type MastvalveError} from 'mastvalve-types';
import {
	collectBytes, describeConnectionFault, describeError, ExceededBoundError, guardConnections, isExceededBound, toMastvalveError,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {IdleTimer} from './idle-timer.js';
import {decodeBody, encodeBody, maxPeerBodyBytes} from './peer-body.js';

/** Handles the calls of one path; the signal aborts when the caller disconnects. */
export type PeerHandler = (body: unknown, signal: AbortSignal) => Promise<Result<unknown, MastvalveError>>;

/** Lifetime of an idle connection, ms. */
const keepAliveMs = 30_000;

/** Bounds of what a peer server reads of a call. */
export type PeerBounds = {
	/** Bytes of one body, packed or not. */
	maxBytes: number;
	/** Longest time without a byte of a body, ms; the whole body may take longer. */
	maxSilenceMs: number;
};

/** Callers give up far earlier. */
const usualBounds: PeerBounds = {maxBytes: maxPeerBodyBytes, maxSilenceMs: 30_000};

/** Options of a peer server. */
export type PeerServerOptions = {
	/** Receives a message for each call beyond a bound; `onError` does if absent. */
	onExceededBound?: (message: string) => void;
	bounds?: PeerBounds;
};

const readBytes = async (req: IncomingMessage, {maxBytes, maxSilenceMs}: PeerBounds): Promise<Uint8Array> => {
	const idleTimer = new IdleTimer(maxSilenceMs, () => {
		req.destroy(new ExceededBoundError(`no byte of a body came for ${maxSilenceMs} ms`));
	});
	req.on('data', idleTimer.reset);
	try {
		return await collectBytes(req, maxBytes);
	} finally {
		idleTimer.stop();
	}
};

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
	const {bytes, headers} = encodeBody(body);
	res.writeHead(status, headers);
	res.end(bytes);
};

const handleRequest = async (handlers: ReadonlyMap<string, PeerHandler>, bounds: PeerBounds, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const handler = handlers.get(req.url ?? '');
	if (!handler) {
		await readBytes(req, bounds);
		sendJson(res, 404, {message: `there is no call ${req.url}`});
		return;
	}

	const disconnect = new AbortController();
	res.once('close', () => {
		disconnect.abort();
	});
	const body = decodeBody(await readBytes(req, bounds), req.headers['content-encoding'], bounds.maxBytes);
	const result = await handler(body, disconnect.signal);
	if (result.isOk()) {
		sendJson(res, 200, result.value);
	} else {
		sendJson(res, result.error.status, {code: result.error.code, message: result.error.message});
	}
};

/** Listens on `ip:port`. */
export const startPeerServer = async (listen: string, handlers: ReadonlyMap<string, PeerHandler>, onError: (message: string) => void, {onExceededBound = onError, bounds = usualBounds}: PeerServerOptions = {}): Promise<Result<Server, MastvalveError>> =>
	new Promise(resolve => {
		const [host, port] = listen.split(':');
		const server = createServer((req, res) => {
			const {remoteAddress, remotePort} = req.socket;
			handleRequest(handlers, bounds, req, res).catch((error: unknown) => {
				const report = isExceededBound(error) ? onExceededBound : onError;
				report(`${req.method} ${req.url} of ${remoteAddress}:${remotePort} failed: ${describeError(error)}`);
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
