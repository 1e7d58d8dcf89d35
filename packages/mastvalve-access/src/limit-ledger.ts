/**
 * What all workspaces were granted, at the leader.
 */

import {LimitWindow} from './limit-window.js';
import type {LimitTolerance} from './limit-tolerance.js';
import type {Workspace, WorkspaceLimit} from './workspace.js';

/** A cost that an entry wants to take, or gives back when it is negative. */
export type LimitClaim = {workspace: string; cost: number};

/** What an entry was granted by the leader before, and how long ago, ms. */
export type PriorGrant = {workspace: string; amount: number; ageMs: number};

/** The answer to a claim: 0 when it was taken, or the time until it can be taken, ms. */
export type LimitWaitMs = number;

type LimitState = {
	limit: WorkspaceLimit;
	window: LimitWindow;
	/** The window of a higher limit that was in force until lately; what it counts may not be granted twice. */
	superseded: {window: LimitWindow; until: number} | undefined;
};

const isSameLimit = (a: WorkspaceLimit, b: WorkspaceLimit): boolean =>
	a.unit === b.unit && a.ratePerSecond === b.ratePerSecond && a.burst === b.burst;

const isRaisedLimit = (from: WorkspaceLimit, to: WorkspaceLimit): boolean =>
	from.unit === to.unit && to.ratePerSecond >= from.ratePerSecond && to.burst >= from.burst;

/** The ledger. */
export class LimitLedger {
	private readonly states = new Map<string, LimitState>();
	private readonly startedAt: number;

	constructor(private readonly tolerance: LimitTolerance, now: number) {
		this.startedAt = now;
	}

	/** Answers a claim of a workspace as it is in force. */
	applyClaim({limit, name}: Workspace, cost: number, now: number): LimitWaitMs {
		if (!limit) {
			return 0;
		}

		const {window, superseded} = this.findOrCreateState(name, limit, now);
		const windows = [window, ...(superseded ? [superseded.window] : [])];
		if (cost < 0) {
			windows.forEach(each => {
				each.refund(-cost);
			});
			return 0;
		}

		const waitMs = Math.max(...windows.map(each => each.computeWaitMs(cost, now)));
		if (waitMs === 0) {
			windows.forEach(each => {
				each.take(cost, now);
			});
		}

		return waitMs;
	}

	/** Takes in what an entry was granted by the leader before. */
	addPriorGrant({limit, name}: Workspace, {amount, ageMs}: PriorGrant, now: number): void {
		if (limit) {
			this.findOrCreateState(name, limit, now).window.addPriorGrant(amount, ageMs, now);
		}
	}

	private findOrCreateState(name: string, limit: WorkspaceLimit, now: number): LimitState {
		const known = this.states.get(name);
		if (!known) {
			const state = {limit, window: new LimitWindow(limit, this.tolerance, this.startedAt), superseded: undefined};
			this.states.set(name, state);
			return state;
		}

		if (!isSameLimit(known.limit, limit)) {
			this.changeLimit(known, limit, now);
		}

		if (known.superseded && now >= known.superseded.until) {
			known.superseded = undefined;
		}

		return known;
	}

	/** What ran under a higher limit doesn't count under a lower one, or nothing could run for a whole window. */
	private changeLimit(state: LimitState, limit: WorkspaceLimit, now: number): void {
		if (isRaisedLimit(state.limit, limit)) {
			state.window.raiseLimit(limit);
		} else {
			state.superseded = {window: state.window, until: now + this.tolerance.windowMs};
			state.window = new LimitWindow(limit, this.tolerance, this.startedAt);
		}

		state.limit = limit;
	}
}
