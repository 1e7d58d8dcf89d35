/**
 * A leader that answers calls of a dispatch client as a test says, and the client's options.
 */

import {PeerError} from 'mastvalve-cluster';
import {DispatchDecisionKind, type DispatchClaim, type DispatchDecision} from 'mastvalve-dispatch';
import type {DispatchRequest, DispatchResponse} from 'mastvalve-fleet-control';
import {assumeType, systemClock, waitFor} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {DispatchClientOptions} from '../../src/index.js';

/** Answers a call; undefined for a leader that is silent, `closed` for a connection that it has closed. */
export type LeaderScript = (request: DispatchRequest, callNumber: number) => Promise<DispatchResponse | 'closed' | undefined> | DispatchResponse | 'closed' | undefined;

const callMs = 2;

/** Decides all claims in the same way. */
export const decideAll = ({claims}: DispatchRequest, decide: (claim: DispatchClaim) => DispatchDecision): DispatchResponse => ({decisions: claims.map(claim => decide(claim)), needsRunning: false});

export const assignTo = (endpoint: string) => ({id}: Pick<DispatchClaim, 'id'>): DispatchDecision => ({
	id, kind: DispatchDecisionKind.Assigned, endpoint, expectedMs: 10, cachedTokens: 0,
});

export const queue = ({id}: Pick<DispatchClaim, 'id'>): DispatchDecision => ({id, kind: DispatchDecisionKind.Queued});

export class ScriptedLeader {
	readonly requests: DispatchRequest[] = [];
	readonly events: string[] = [];
	readonly ending = new AbortController();

	constructor(public script: LeaderScript = request => decideAll(request, assignTo('e0'))) {}

	get options(): DispatchClientOptions {
		return {
			entry: 'entry',
			client: {call: async ({body, idleTimeoutMs}) => this.call(assumeType<DispatchRequest>(body), idleTimeoutMs ?? 0)},
			readLeader: () => 'leader',
			now: () => systemClock.now(),
			wait: waitFor,
			signal: this.ending.signal,
			onEvent: kind => {
				this.events.push(kind);
			},
			isAlwaysActive: true,
		};
	}

	/** Ids of claims that were reported as cancelled. */
	get released(): string[] {
		return this.requests.flatMap(({events}) => events.filter(({kind}) => assumeType<string>(kind) === 'cancelled').map(({id}) => id));
	}

	private async call<T>(request: DispatchRequest, silenceMs: number): Promise<Result<T, PeerError>> {
		this.requests.push(request);
		await waitFor(callMs);
		const response = await this.script(request, this.requests.length);
		if (response === undefined) {
			await waitFor(silenceMs);
		}

		return response === undefined || response === 'closed' ? err(new PeerError('leader', '/dispatch', 'no answer')) : ok(assumeType<T>(response));
	}
}
