/**
 * Client for calls between the processes of mastvalve: JSON over persistent HTTP connections.
 *
 * It uses the HTTP client of Node.js instead of tRPC: a restarted process on half a core serves nothing until its modules
 * are loaded, and the libraries for typed calls load longer than the rest of an entry (docs/HOUSE-STYLE.md).
 */

import {
	Agent, request, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {MastvalveError, Outcome} from 'mastvalve-types';
import {
	assumeType, collectBytes, describeError, dropIdleConnections, isExceededBound, limitInformationalHeads, maxAnswerHeadBytes,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {decodeBody, encodeBody, maxPeerBodyBytes} from './peer-body.js';
import {IdleTimer} from './idle-timer.js';

/** Returned when a call to another process of mastvalve gets no response, or one with a status other than 200. */
export class PeerError extends MastvalveError {
	constructor(address: string, path: string, reason: string, readonly statusCode?: number) {
		super('peer', `${address}${path}: ${reason}`, {status: 503, outcome: Outcome.Unknown, retryAfterSeconds: 1});
		this.name = 'PeerError';
	}
}

/** Lifetime of an idle connection, ms; shorter than on the server. */
const keepAliveMs = 20_000;

/** Bytes per write to a connection; each completed write shows that the peer reads. */
const chunkBytes = 16_384;

export type PeerCall = {
	address: string;
	path: string;
	body: unknown;
	/** Longest time without a byte from or to the peer, ms; the whole call may take longer. */
	idleTimeoutMs: number;
	signal?: AbortSignal;
};

export type PeerClientOptions = {
	/** Receives a message for each answer beyond a bound. */
	onExceededBound?: (message: string) => void;
	/** Bytes of one answer, packed or not. */
	maxAnswerBytes?: number;
};

export class PeerClient {
	private readonly agent = new Agent({keepAlive: true, timeout: keepAliveMs, scheduling: 'lifo'});
	private readonly onExceededBound: (message: string) => void;
	private readonly maxAnswerBytes: number;

	constructor({onExceededBound = () => undefined, maxAnswerBytes = maxPeerBodyBytes}: PeerClientOptions = {}) {
		this.onExceededBound = onExceededBound;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Posts a JSON body and parses the JSON response. A peer that transfers no byte within `idleTimeoutMs` counts as
	 * unreachable, and its connection is closed. There is no limit on the whole call: a large response over a slow link would
	 * always exceed it and be requested again and again.
	 */
	async call<T>({address, path, body, idleTimeoutMs, signal}: PeerCall): Promise<Result<T, PeerError>> {
		return new Promise(resolve => {
			let receivedBytes = 0;
			const {bytes, headers} = encodeBody(body);
			const [host, port] = address.split(':');
			const req = request({
				host, port, path, method: 'POST', agent: this.agent, signal, headers, maxHeaderSize: maxAnswerHeadBytes,
			});
			const idleTimer = new IdleTimer(idleTimeoutMs, () => {
				req.destroy(new Error(`nothing moved for ${idleTimeoutMs} ms after ${receivedBytes} bytes of an answer`));
				dropIdleConnections(this.agent, address);
			});
			const settle = (result: Result<T, PeerError>): void => {
				idleTimer.stop();
				resolve(result);
			};

			const fail = (reason: string, status?: number): void => {
				settle(err(new PeerError(address, path, reason, status)));
			};

			const onClose = (): void => {
				fail('the connection closed');
			};

			const onError = (error: unknown): void => {
				if (isExceededBound(error)) {
					this.onExceededBound(`POST ${path} of ${address}: ${describeError(error)}`);
				}

				fail(describeError(error));
			};

			req.once('close', onClose);
			req.on('error', onError);
			limitInformationalHeads(req);
			req.once('response', (res: IncomingMessage) => {
				// From here on the outcome depends on the body; the request may close before the body is delivered.
				req.off('close', onClose);
				res.on('data', (chunk: Uint8Array) => {
					receivedBytes += chunk.length;
					idleTimer.reset();
				});
				readAnswer(res, this.maxAnswerBytes).then(answer => {
					if (res.statusCode === 200) {
						settle(ok(assumeType<T>(answer)));
					} else {
						fail(JSON.stringify(answer).slice(0, maxReasonLength), res.statusCode);
					}
				}).catch(onError);
			});
			sendInChunks(req, bytes, idleTimer.reset);
		});
	}

	close(): void {
		this.agent.destroy();
	}
}

/** Maximum characters of an error response in the message of a `PeerError`. */
const maxReasonLength = 200;

const readAnswer = async (res: IncomingMessage, maxBytes: number): Promise<unknown> =>
	decodeBody(await collectBytes(res, maxBytes), res.headers['content-encoding'], maxBytes);

/** Sends a body in chunks; `onProgress` is called after each completed write. */
const sendInChunks = (req: ClientRequest, bytes: Uint8Array, onProgress: () => void): void => {
	const count = Math.ceil(bytes.length / chunkBytes);
	Array.from({length: count}, (_, index) => bytes.subarray(index * chunkBytes, (index + 1) * chunkBytes)).forEach(chunk => {
		req.write(chunk, onProgress);
	});
	req.end();
};
