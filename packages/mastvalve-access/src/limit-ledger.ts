/**
 * The buckets of all workspaces, at the leader.
 */

import type {LimitTolerance} from './limit-tolerance.js';
import {TokenBucket} from './token-bucket.js';
import type {Workspace, WorkspaceLimit} from './workspace.js';

/** A cost that an entry wants to take, or gives back when it is negative. */
export type LimitClaim = {workspace: string; cost: number};

/** The answer to a claim, in the order of the claims: 0 when it was taken, or the time until there is room, ms. */
export type LimitAnswer = number;

type Entry = {limit: WorkspaceLimit; bucket: TokenBucket};

const isSame = (a: WorkspaceLimit, b: WorkspaceLimit): boolean =>
	a.unit === b.unit && a.ratePerSecond === b.ratePerSecond && a.burst === b.burst;

/** The ledger. */
export class LimitLedger {
	private readonly entries = new Map<string, Entry>();

	constructor(private readonly tolerance: LimitTolerance) {}

	/** Forgets all: another instance may have led since. */
	reset(): void {
		this.entries.clear();
	}

	/** Answers a claim of a workspace as it is in force. */
	settle({limit, name}: Workspace, cost: number, now: number): LimitAnswer {
		if (!limit) {
			return 0;
		}

		const {bucket} = this.entryOf(name, limit, now);
		if (cost >= 0) {
			return bucket.take(cost, now);
		}

		bucket.giveBack(-cost);
		return 0;
	}

	private entryOf(name: string, limit: WorkspaceLimit, now: number): Entry {
		const known = this.entries.get(name);
		if (!known) {
			const entry = {limit, bucket: new TokenBucket(limit, this.tolerance, now)};
			this.entries.set(name, entry);
			return entry;
		}

		if (!isSame(known.limit, limit)) {
			known.limit = limit;
			known.bucket.setLimit(limit, now);
		}

		return known;
	}
}
