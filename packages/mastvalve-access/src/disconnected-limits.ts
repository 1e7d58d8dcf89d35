/**
 * How an entry goes on while nobody answers for the limits: each workspace by what it had here.
 *
 * The load pattern that it answers: all of control is gone for some seconds, in the middle of a workspace's burst. What all entries
 * were granted in the last window adds up to no more than the limit, so an entry that never grants more in a window than it had
 * been granted in the last one keeps the limit together with the others, and needs nobody. A workspace that was not refused
 * lately has room left, and may have one request more: at a few requests an entry and window, the usual differences between two
 * windows are of that size.
 */

import type {GrantHistory} from './grant-history.js';

/** The limits of one entry that is disconnected from the leader. Times are monotonic, ms. */
export class DisconnectedLimits {
	private readonly refusedAt = new Map<string, number>();
	/** What each workspace had here when nobody answered any more; undefined while somebody does. */
	private baselines: Map<string, number> | undefined;

	/** A refusal tells for `windowMs` that the limit is reached. */
	constructor(private readonly history: GrantHistory, private readonly windowMs: number) {}

	/** A cost was refused by whoever counts. */
	recordRefusal(workspace: string, now: number): void {
		this.refusedAt.set(workspace, now);
	}

	/** Nobody answers from now on. */
	disconnect(now: number): void {
		this.baselines = this.history.listSums(now);
	}

	/** Somebody answers again. */
	reconnect(): void {
		this.baselines = undefined;
	}

	/** Whether a cost may pass. */
	mayGrant(workspace: string, cost: number, now: number): boolean {
		const had = this.baselines?.get(workspace) ?? 0;
		const sum = this.history.computeSum(workspace, now);
		const wasRefused = now - (this.refusedAt.get(workspace) ?? Number.NEGATIVE_INFINITY) < this.windowMs;
		return wasRefused ? sum + cost <= had : sum <= had;
	}
}
