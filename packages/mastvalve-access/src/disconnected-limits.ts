/**
 * Workspace limits of an entry while it is disconnected from the leader, based on what it was granted before.
 *
 * This covers an outage of all control instances for some seconds during a burst of a workspace. The grants of all entries in the last
 * window add up to at most the limit, so entries that each grant no more per window than they were granted in the last one keep the limit
 * without coordination. A workspace without a recent refusal has spare capacity and may exceed this by one request: at a few requests per
 * entry and window, the usual differences between two windows are of that size.
 */

import type {GrantHistory} from './grant-history.js';

/** Limits of one disconnected entry. Times are monotonic, ms. */
export class DisconnectedLimits {
	private readonly refusedAt = new Map<string, number>();
	/** Sum of the grants by workspace at the time of the disconnection; undefined while connected. */
	private baselines: Map<string, number> | undefined;

	/** A refusal indicates for `windowMs` that the limit is reached. */
	constructor(private readonly history: GrantHistory, private readonly windowMs: number) {}

	/** Records that the leader refused a cost. */
	recordRefusal(workspace: string, now: number): void {
		this.refusedAt.set(workspace, now);
	}

	disconnect(now: number): void {
		this.baselines = this.history.listSums(now);
	}

	reconnect(): void {
		this.baselines = undefined;
	}

	/** Whether a cost may be granted locally. */
	mayGrant(workspace: string, cost: number, now: number): boolean {
		const baseline = this.baselines?.get(workspace) ?? 0;
		const sum = this.history.computeSum(workspace, now);
		const wasRefused = now - (this.refusedAt.get(workspace) ?? Number.NEGATIVE_INFINITY) < this.windowMs;
		return wasRefused ? sum + cost <= baseline : sum <= baseline;
	}
}
