/**
 * What all workspaces were granted, at the leader.
 */

import {LimitWindow} from './limit-window.js';
import type {LimitTolerance} from './limit-tolerance.js';
import type {Workspace, WorkspaceLimit} from './workspace.js';

/** A cost that an entry wants to take, or gives back when it is negative. */
export type LimitClaim = {workspace: string; cost: number};

/** What an entry was granted by the leader before, and how long ago, ms. */
export type FormerGrant = {workspace: string; amount: number; ageMs: number};

/** The answer to a claim: 0 when it was taken, or the time until it can be taken, ms. */
export type LimitAnswer = number;

type Entry = {
	limit: WorkspaceLimit;
	window: LimitWindow;
	/** The window of a higher limit that was in force until lately; what it counts may not be granted twice. */
	former: {window: LimitWindow; until: number} | undefined;
};

const isSame = (a: WorkspaceLimit, b: WorkspaceLimit): boolean =>
	a.unit === b.unit && a.ratePerSecond === b.ratePerSecond && a.burst === b.burst;

const isRaised = (from: WorkspaceLimit, to: WorkspaceLimit): boolean =>
	from.unit === to.unit && to.ratePerSecond >= from.ratePerSecond && to.burst >= from.burst;

/** The ledger. */
export class LimitLedger {
	private readonly entries = new Map<string, Entry>();
	private readonly begunAt: number;

	constructor(private readonly tolerance: LimitTolerance, now: number) {
		this.begunAt = now;
	}

	/** Answers a claim of a workspace as it is in force. */
	settle({limit, name}: Workspace, cost: number, now: number): LimitAnswer {
		if (!limit) {
			return 0;
		}

		const {window, former} = this.entryOf(name, limit, now);
		const windows = [window, ...(former ? [former.window] : [])];
		if (cost < 0) {
			windows.forEach(each => {
				each.giveBack(-cost);
			});
			return 0;
		}

		const waitMs = Math.max(...windows.map(each => each.waitFor(cost, now)));
		if (waitMs === 0) {
			windows.forEach(each => {
				each.take(cost, now);
			});
		}

		return waitMs;
	}

	/** Takes in what an entry was granted by the leader before. */
	addFormer({limit, name}: Workspace, {amount, ageMs}: FormerGrant, now: number): void {
		if (limit) {
			this.entryOf(name, limit, now).window.addFormer(amount, ageMs, now);
		}
	}

	private entryOf(name: string, limit: WorkspaceLimit, now: number): Entry {
		const known = this.entries.get(name);
		if (!known) {
			const entry = {limit, window: new LimitWindow(limit, this.tolerance, this.begunAt), former: undefined};
			this.entries.set(name, entry);
			return entry;
		}

		if (!isSame(known.limit, limit)) {
			this.change(known, limit, now);
		}

		if (known.former && now >= known.former.until) {
			known.former = undefined;
		}

		return known;
	}

	/** What ran under a higher limit doesn't count under a lower one, or nothing could run for a whole window. */
	private change(entry: Entry, limit: WorkspaceLimit, now: number): void {
		if (isRaised(entry.limit, limit)) {
			entry.window.raise(limit);
		} else {
			entry.former = {window: entry.window, until: now + this.tolerance.windowMs};
			entry.window = new LimitWindow(limit, this.tolerance, this.begunAt);
		}

		entry.limit = limit;
	}
}
