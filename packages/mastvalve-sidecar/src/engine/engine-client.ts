/**
 * Talks to the management side of a model engine.
 */

import {assumeType} from 'mastvalve-utils';
import type {FencingToken, Order} from 'mastvalve-types';
import {Agent, request} from 'undici';
import type {EngineStatus} from './engine-status.js';

const callMs = 2000;

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
			await res.body.dump();
			throw new Error(`the engine answers ${res.statusCode} to a question for its status`);
		}

		return assumeType<EngineStatus>(await res.body.json());
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
		await res.body.dump();
	}

	async close(): Promise<void> {
		await this.agent.destroy();
	}
}
