/**
 * Following the configuration from a list of upstreams, going on to the next when one fails.
 */

import type {TRPCClient} from '@trpc/client';
import type {ConfigurationStore} from 'mastvalve-configuration';
import {
	ControlUnavailableError, type Endpoint, type EndpointReport, type MastvalveError,
} from 'mastvalve-types';
import {
	createDeadlineSignal, describeError, repeatUntilAborted, type HybridClock,
} from 'mastvalve-utils';
import {err, type Result} from 'neverthrow';
import {createRpcClient} from './trpc.js';
import type {DemandReport, JoinRequest, UpstreamRouter} from './upstream-router.js';
import {fromWire, type WireResult} from './wire-result.js';

/** How long an upstream may hold a question for news, ms. */
const followWaitMs = 10_000;
const followGraceMs = 2000;
const callTimeoutMs = 5000;
const retryPauseMs = 200;

type Client = TRPCClient<UpstreamRouter>;

/** Calls upstreams, one at a time. */
export class UpstreamClient {
	private readonly clients: Client[];
	private preferred = 0;

	/** `urls` in order of preference. */
	constructor(urls: readonly string[], clock: HybridClock, private readonly callMs = callTimeoutMs) {
		this.clients = urls.map(url => createRpcClient<UpstreamRouter>(url, clock));
	}

	async readLatest(): Promise<Result<number, MastvalveError>> {
		return this.callAny(async (client, signal) => client.readLatest.query(undefined, {signal}));
	}

	async join(request: JoinRequest): Promise<Result<Endpoint, MastvalveError>> {
		return this.callAny(async (client, signal) => client.join.mutate(request, {signal}));
	}

	async report(reports: EndpointReport[]): Promise<Result<true, MastvalveError>> {
		return this.callAny(async (client, signal) => client.report.mutate(reports, {signal}));
	}

	async reportDemand(report: DemandReport): Promise<Result<true, MastvalveError>> {
		return this.callAny(async (client, signal) => client.reportDemand.mutate(report, {signal}));
	}

	/** Keeps a store up to date until the signal aborts. */
	async follow(store: ConfigurationStore, signal: AbortSignal, onError: (message: string) => void): Promise<void> {
		await repeatUntilAborted(signal, 0, async () => {
			const outcome = await this.followOnce(store, signal);
			if (outcome !== undefined && !signal.aborted) {
				onError(outcome);
				this.preferred += 1;
				await new Promise(resolve => {
					setTimeout(resolve, retryPauseMs);
				});
			}
		}, thrown => {
			onError(describeError(thrown));
		});
	}

	/** One question; the reason when it failed. */
	private async followOnce(store: ConfigurationStore, signal: AbortSignal): Promise<string | undefined> {
		const client = this.clients[this.preferred % this.clients.length];
		try {
			const wire = await client?.follow.query({revision: store.revision, waitMs: followWaitMs}, {signal: createDeadlineSignal(followWaitMs + followGraceMs, [signal])});
			const result = wire && fromWire(wire).andThen(update => store.adopt(update));
			return result?.isErr() ? result.error.message : undefined;
		} catch (error) {
			return describeError(error);
		}
	}

	/** Asks the preferred upstream, then each of the others once. */
	private async callAny<T>(call: (client: Client, signal: AbortSignal) => Promise<WireResult<T>>, tried = 0): Promise<Result<T, MastvalveError>> {
		const client = this.clients[(this.preferred + tried) % this.clients.length];
		const result = await callOnce(call, client, this.callMs);
		return result.isErr() && tried + 1 < this.clients.length ? this.callAny(call, tried + 1) : result;
	}
}

const callOnce = async <T>(
	call: (client: Client, signal: AbortSignal) => Promise<WireResult<T>>,
	client: Client | undefined,
	timeoutMs: number,
): Promise<Result<T, MastvalveError>> => {
	if (!client) {
		return err(new ControlUnavailableError('No upstream is set.'));
	}

	try {
		return fromWire(await call(client, AbortSignal.timeout(timeoutMs)));
	} catch (error) {
		return err(new ControlUnavailableError(`The upstream does not answer: ${describeError(error)}.`, error));
	}
};
