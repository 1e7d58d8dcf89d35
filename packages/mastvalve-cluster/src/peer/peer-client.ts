/**
 * Calls between mastvalve's own processes: JSON over kept HTTP connections.
 *
 * It uses Node's own client rather than tRPC: a restarted process at half a core is of use only once it has loaded,
 * and the libraries for typed calls take longer to load than all the rest of an entry (docs/HOUSE-STYLE.md).
 */

import {
	Agent, request, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {MastvalveError, Outcome} from 'mastvalve-types';
import {
	assumeType, collectBytes, describeError, dropIdleConnections,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {decodeBody, encodeBody} from './peer-body.js';
import {SilenceWatch} from './silence-watch.js';

/** A call to another process of mastvalve that got no answer, or one that says no. */
export class PeerError extends MastvalveError {
	constructor(address: string, path: string, reason: string, readonly statusCode?: number) {
		super('peer', `${address}${path}: ${reason}`, {status: 503, outcome: Outcome.Unknown, retryAfterSeconds: 1});
		this.name = 'PeerError';
	}
}

/** Kept idle for less time than a server keeps them, ms. */
const idleConnectionMs = 20_000;

/** Bytes that are handed to a connection at once; each piece that the connection has taken shows that the peer reads. */
const pieceBytes = 16_384;

/** Options of a call. */
export type PeerCall = {
	address: string;
	path: string;
	body: unknown;
	/** Longest time without a byte from or to the peer, ms; the whole may take longer. */
	idleTimeoutMs: number;
	signal?: AbortSignal;
};

/** A client for all peers. */
export class PeerClient {
	private readonly agent = new Agent({keepAlive: true, timeout: idleConnectionMs, scheduling: 'lifo'});

	/**
	 * Posts JSON and reads JSON. A peer with which no byte moves counts as out of reach, and its connection is given up. The
	 * limit is on silence, not on the whole: a limit on the whole is one that a large answer on a slow link never keeps, so
	 * it would be begun again and again.
	 */
	async call<T>({address, path, body, idleTimeoutMs, signal}: PeerCall): Promise<Result<T, PeerError>> {
		return new Promise(resolve => {
			let received = 0;
			const {bytes, headers} = encodeBody(body);
			const [host, port] = address.split(':');
			const req = request({
				host, port, path, method: 'POST', agent: this.agent, signal, headers,
			});
			const watch = new SilenceWatch(idleTimeoutMs, () => {
				req.destroy(new Error(`nothing moved for ${idleTimeoutMs} ms after ${received} bytes of an answer`));
				dropIdleConnections(this.agent, address);
			});
			const done = (result: Result<T, PeerError>): void => {
				watch.end();
				resolve(result);
			};

			const fail = (reason: string, status?: number): void => {
				done(err(new PeerError(address, path, reason, status)));
			};

			const onClose = (): void => {
				fail('the connection closed');
			};

			req.once('close', onClose);
			req.once('error', error => {
				fail(describeError(error));
			});
			req.once('response', (res: IncomingMessage) => {
				// From here on the body tells how it ends; the request may close before the body was handed over.
				req.off('close', onClose);
				res.on('data', (chunk: Uint8Array) => {
					received += chunk.length;
					watch.touch();
				});
				readAnswer(res).then(answer => {
					if (res.statusCode === 200) {
						done(ok(assumeType<T>(answer)));
					} else {
						fail(JSON.stringify(answer).slice(0, maxReason), res.statusCode);
					}
				}).catch((error: unknown) => {
					fail(describeError(error));
				});
			});
			sendPieces(req, bytes, watch.touch);
		});
	}

	close(): void {
		this.agent.destroy();
	}
}

/** Characters of a refusal that are kept. */
const maxReason = 200;

const readAnswer = async (res: IncomingMessage): Promise<unknown> => decodeBody(await collectBytes(res), res.headers['content-encoding']);

/** Sends a body piece by piece; `onMoved` is called whenever the connection has taken one. */
const sendPieces = (req: ClientRequest, bytes: Uint8Array, onMoved: () => void): void => {
	const count = Math.ceil(bytes.length / pieceBytes);
	Array.from({length: count}, (_, index) => bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes)).forEach(piece => {
		req.write(piece, onMoved);
	});
	req.end();
};
