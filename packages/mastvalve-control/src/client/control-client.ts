/**
 * Calls control's leader, finding it among the control instances and asking again until a deadline.
 *
 * Every call can be repeated safely: operators' calls carry a request id, claims their attempt.
 */

import type {TRPCClient} from '@trpc/client';
import type {ClaimCompletion, ClaimDecision, ClaimRequest} from 'mastvalve-claims';
import {
	createRpcClient, fromWire, type WireResult,
} from 'mastvalve-http';
import type {Plan} from 'mastvalve-intents';
import {ControlUnavailableError, type Intent, type MastvalveError} from 'mastvalve-types';
import {
	describeError, waitFor, type HybridClock, assumeType,
} from 'mastvalve-utils';
import {err, type Result} from 'neverthrow';
import type {ControlRouter} from '../server/control-router.js';
import type {ControlStatus} from '../server/control-status.js';
import type {Confirmation, OperatorRequest} from '../server/operator-router.js';
import {chooseNextInstance} from './choose-next-instance.js';

/** A control instance by name and URL. */
export type ControlAddress = {name: string; url: string};

type Client = TRPCClient<ControlRouter>;
type Call<T> = (client: Client, signal: AbortSignal) => Promise<WireResult<T>>;

/** Codes after which another try may help. */
const transientCodes = new Set(['not-leader', 'proposal-lost', 'control-unavailable']);
const attemptMs = 1500;
const retryPauseMs = 60;
/** With less time left than this, another attempt could only hide the last answer, ms. */
const minAttemptMs = 100;

/** A client of the control group. */
export class ControlClient {
	private readonly clients: Array<{name: string; client: Client}>;
	private preferred = 0;

	constructor(addresses: readonly ControlAddress[], clock: HybridClock, private readonly totalMs = 5000) {
		this.clients = addresses.map(({name, url}) => ({name, client: createRpcClient<ControlRouter>(url, clock)}));
	}

	async stateIntent(request: OperatorRequest<{intent: Intent}>): Promise<Result<Plan, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.stateIntent.mutate(request, {signal}) as Promise<WireResult<Plan>>);
	}

	async showPlan(planId: string): Promise<Result<Plan, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.showPlan.query({planId}, {signal}) as Promise<WireResult<Plan>>);
	}

	async confirmPlan(request: OperatorRequest<{planId: string}>): Promise<Result<Confirmation, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.confirmPlan.mutate(request, {signal}));
	}

	async drainEndpoint(request: OperatorRequest<{endpointId: string}>): Promise<Result<true, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.drainEndpoint.mutate(request, {signal}));
	}

	async readStatus(): Promise<Result<ControlStatus, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.readStatus.query(undefined, {signal}) as Promise<WireResult<ControlStatus>>);
	}

	async beginClaim(request: ClaimRequest, totalMs?: number): Promise<Result<ClaimDecision, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.beginClaim.mutate(request, {signal}) as Promise<WireResult<ClaimDecision>>, totalMs);
	}

	async finishClaim(end: ClaimCompletion): Promise<Result<boolean, MastvalveError>> {
		return this.call(async (client, signal) => client.operator.finishClaim.mutate(end, {signal}));
	}

	/** Asks the likely leader, then the others, until one answers for good or the time is over. */
	private async call<T>(call: Call<T>, totalMs = this.totalMs): Promise<Result<T, MastvalveError>> {
		const endAt = performance.now() + totalMs;
		let asked = this.preferred;
		let result = await this.callOnce(call, asked, Math.min(attemptMs, totalMs));
		while (endAt - performance.now() > minAttemptMs && result.isErr() && transientCodes.has(result.error.code)) {
			this.preferred = this.chooseNext(asked, assumeType<{leader?: string}>(result.error).leader);
			asked = this.preferred;
			// eslint-disable-next-line no-await-in-loop
			await waitFor(retryPauseMs);
			// One instance at a time: the leader is one.
			// eslint-disable-next-line no-await-in-loop
			result = await this.callOnce(call, asked, Math.min(attemptMs, endAt - performance.now()));
		}

		return result;
	}

	private chooseNext(asked: number, leader: string | undefined): number {
		const position = this.clients.findIndex(({name}) => name === leader);
		return chooseNextInstance({
			count: Math.max(1, this.clients.length), asked, preferred: this.preferred, leader: position === -1 ? undefined : position,
		});
	}

	private async callOnce<T>(call: Call<T>, asked: number, timeoutMs: number): Promise<Result<T, MastvalveError>> {
		const chosen = this.clients[asked];
		if (!chosen) {
			return err(new ControlUnavailableError('No control instance is set.'));
		}

		try {
			return fromWire(await call(chosen.client, AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)))));
		} catch (error) {
			return err(new ControlUnavailableError(`${chosen.name} does not answer: ${describeError(error)}. Check that a majority of the control instances runs.`, error));
		}
	}
}
