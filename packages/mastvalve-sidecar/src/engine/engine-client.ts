/**
 * Talks to the management side of a model engine.
 */

import {limitBytes} from 'mastvalve-http';
import {assumeType, collectText} from 'mastvalve-utils';
import type {FencingToken, Order} from 'mastvalve-types';
import {Agent, request} from 'undici';
import type {EngineStatus} from './engine-status.js';

/** Time for one call, ms. */
const callMs = 2000;
/** Bytes of a status: names of some hundred models and tokens of as many orders. */
const maxStatusBytes = 1_048_576;
/** Bytes of an answer that are read and dropped, so that its connection closes in order; beyond them it is cut. */
const maxDroppedBytes = 65_536;

/** Thrown when an engine's status doesn't end in time. */
export class StatusTooLargeError extends Error {
	constructor(url: string) {
		super(`the status at ${url} is larger than ${maxStatusBytes} bytes`);
		this.name = 'StatusTooLargeError';
	}
}

/** The management side of one engine. */
export class EngineClient {
	/**
	 * One connection at a time, so that orders reach the engine in the order in which they were sent, and one for each call (`pipelining` 0), so
	 * that a surplus answer isn't taken for the answer to the next call.
	 */
	private readonly agent = new Agent({connections: 1, pipelining: 0, connect: {timeout: 1000}});

	constructor(private readonly url: string) {}

	/** Reads the true state; an engine that checks tokens refuses older orders from then on. */
	async readStatus(fence: FencingToken): Promise<EngineStatus> {
		const url = `${this.url}/admin/status?term=${fence.term}&sequence=${fence.sequence}`;
		const res = await request(url, {dispatcher: this.agent, signal: AbortSignal.timeout(callMs)});
		if (res.statusCode !== 200) {
			await res.body.dump({limit: maxDroppedBytes});
			throw new Error(`the engine answers ${res.statusCode} to a question for its status`);
		}

		const text = await collectText(limitBytes(res.body, maxStatusBytes, () => new StatusTooLargeError(url)), maxStatusBytes);
		return assumeType<EngineStatus>(JSON.parse(text));
	}

	/** Sends an order; its fate is only proved by a later status. */
	async sendOrder(order: Order): Promise<void> {
		const res = await request(`${this.url}/admin/orders`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(order),
			dispatcher: this.agent,
			signal: AbortSignal.timeout(callMs),
		});
		await res.body.dump({limit: maxDroppedBytes});
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}
}
