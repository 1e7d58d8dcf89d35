/**
 * Calls between mastvalve's own processes: JSON over kept HTTP connections.
 *
 * It uses Node's own client rather than tRPC: a restarted process at half a core is of use only once it has loaded,
 * and the libraries for typed calls take longer to load than all the rest of an entry (docs/HOUSE-STYLE.md).
 */

import {Buffer} from 'node:buffer';
import {Agent, request, type IncomingMessage} from 'node:http';
import {MastvalveError, Outcome} from 'mastvalve-types';
import {
	assumeType, collectText, describeError, dropIdleConnections,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';

/** A call to another process of mastvalve that got no answer, or one that says no. */
export class PeerError extends MastvalveError {
	constructor(address: string, path: string, reason: string, readonly statusCode?: number) {
		super('peer', `${address}${path}: ${reason}`, {status: 503, outcome: Outcome.Unknown, retryAfterSeconds: 1});
		this.name = 'PeerError';
	}
}

/** Kept idle for less time than a server keeps them, ms. */
const idleConnectionMs = 20_000;

/** Options of a call. */
export type PeerCall = {address: string; path: string; body: unknown; timeoutMs: number; signal?: AbortSignal};

/** A client for all peers. */
export class PeerClient {
	private readonly agent = new Agent({keepAlive: true, timeout: idleConnectionMs, scheduling: 'lifo'});

	/** Posts JSON and reads JSON. A peer that says nothing in time counts as out of reach, and its connection is given up. */
	async call<T>({address, path, body, timeoutMs, signal}: PeerCall): Promise<Result<T, PeerError>> {
		return new Promise(resolve => {
			const fail = (reason: string, status?: number): void => {
				resolve(err(new PeerError(address, path, reason, status)));
			};

			let received = 0;
			const [host, port] = address.split(':');
			const text = JSON.stringify(body);
			const req = request({
				host, port, path, method: 'POST', agent: this.agent, signal, headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
			});
			const timer = setTimeout(() => {
				req.destroy(new Error(`no whole answer within ${timeoutMs} ms, ${received} bytes of it`));
				dropIdleConnections(this.agent, address);
			}, timeoutMs);
			const onClose = (): void => {
				clearTimeout(timer);
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
				});
				collectText(res).then(answer => {
					if (res.statusCode === 200) {
						resolve(ok(assumeType<T>(JSON.parse(answer))));
					} else {
						fail(answer.slice(0, 200), res.statusCode);
					}
				}).catch((error: unknown) => {
					fail(describeError(error));
				}).finally(() => {
					clearTimeout(timer);
				});
			});
			req.end(text);
		});
	}

	close(): void {
		this.agent.destroy();
	}
}
