/**
 * Workspace limits of an entry while it is disconnected from the leader, based on what it was granted before.
 *
 * This covers an outage of all control instances for some seconds during a burst of a workspace. The grants of all entries in the last
 * window add up to at most the limit, so entries that each grant no more per window than they were granted in the last one keep the limit
 * without coordination. A leader that goes on serving others keeps counting these grants (`silent-grants.ts`), except those that leave the
 * window before it can notice that the entry is silent; the entry doesn't rely on these. The next leader counts what was granted before
 * until entries that are still disconnected grant nothing any more, so an entry decides alone only for a bounded time.
 *
 * For a workspace that has used less than half of its window, each entry may grant more by the share that the leader has issued to it
 * (`excess-shares.ts`): with a few requests per entry and window, two windows often differ by the cost of a request.
 */

import {computeExcessPool, wholeShare, type ExcessShare} from './excess-share.js';
import {maxLocalGrantMs, silentAfterMs} from './grant-times.js';
import type {GrantHistory} from './grant-history.js';
import type {Workspace} from './workspace.js';

/** A workspace with its limit. */
export type LimitedWorkspace = Pick<Workspace, 'name' | 'limit'>;

/** Limits of one disconnected entry. Times are monotonic, ms. */
export class DisconnectedLimits {
	private readonly refusedAt = new Map<string, number>();
	/** Time from which on a leader that this entry doesn't reach keeps counting what this entry holds. */
	private keptFrom = Number.NEGATIVE_INFINITY;
	/** Sum by workspace of the grants that such a leader keeps counting; undefined while connected. */
	private baselines: Map<string, number> | undefined;
	/** Workspaces that had used half of their window or more; undefined if the leader has sent no list. */
	private busy: ReadonlySet<string> | undefined;
	/** Time of sending of the last call that a leader answered. */
	private answeredAt = Number.NEGATIVE_INFINITY;
	private excess: ExcessShare | undefined;

	/** A refusal indicates for `windowMs` that the limit is reached. */
	constructor(private readonly history: GrantHistory, private readonly windowMs: number) {}

	/** Share that this entry may use. */
	get heldExcess(): ExcessShare | undefined {
		return this.excess;
	}

	/**
	 * Records an answer of the leader to a call that was sent at a time. An answer that is older than the last one is ignored: its share may
	 * have been issued to another entry since.
	 */
	recordAnswer(busy: readonly string[] | undefined, sentAt: number, excess?: ExcessShare): void {
		if (excess && this.excess && (excess.term < this.excess.term || (excess.term === this.excess.term && excess.number < this.excess.number))) {
			return;
		}

		this.busy = busy && new Set(busy);
		this.answeredAt = sentAt;
		this.excess = excess;
	}

	/** Gives up the share. */
	dropExcess(): void {
		this.excess &&= {...this.excess, parts: 0};
	}

	/** Records that the leader refused a cost. */
	recordRefusal(workspace: string, now: number): void {
		this.refusedAt.set(workspace, now);
	}

	disconnect(now: number): void {
		this.keptFrom = now + silentAfterMs;
		this.baselines = this.history.listRemainingSums(this.keptFrom);
	}

	reconnect(): void {
		this.baselines = undefined;
	}

	/** Whether a cost may be granted locally. */
	mayGrant({name, limit}: LimitedWorkspace, cost: number, now: number): boolean {
		if (now >= this.answeredAt + maxLocalGrantMs) {
			return false;
		}

		const baseline = this.baselines?.get(name) ?? 0;
		const sum = now < this.keptFrom ? this.history.computeRemaining(name, this.keptFrom) : this.history.computeSum(name, now);
		const excess = limit && this.mayExceed(name, now) ? computeExcessPool(limit, this.windowMs) * (this.excess?.parts ?? 0) / wholeShare : 0;
		return sum + cost <= baseline + excess;
	}

	private mayExceed(workspace: string, now: number): boolean {
		const wasRefused = now - (this.refusedAt.get(workspace) ?? Number.NEGATIVE_INFINITY) < this.windowMs;
		return !wasRefused && this.busy?.has(workspace) === false;
	}
}
