/**
 * Grants of all workspaces, counted at the leader.
 */

import {LimitWindow} from './limit-window.js';
import type {LimitTolerance} from './limit-tolerance.js';
import type {Workspace, WorkspaceLimit} from './workspace.js';

/** Cost that an entry claims, or refunds if negative. */
export type LimitClaim = {workspace: string; cost: number};

/** Amount that an entry was granted by a previous leader, and its age, ms. */
export type PriorGrant = {workspace: string; amount: number; ageMs: number};

/** Result of a claim: 0 if it is granted, otherwise the time until it can be granted, ms. */
export type LimitWaitMs = number;

type LimitState = {
	limit: WorkspaceLimit;
	window: LimitWindow;
	/** Window of a higher limit that was in force until recently; its grants must not be granted again. */
	superseded: {window: LimitWindow; until: number} | undefined;
};

const isSameLimit = (a: WorkspaceLimit, b: WorkspaceLimit): boolean =>
	a.unit === b.unit && a.ratePerSecond === b.ratePerSecond && a.burst === b.burst;

const isRaisedLimit = (from: WorkspaceLimit, to: WorkspaceLimit): boolean =>
	from.unit === to.unit && to.ratePerSecond >= from.ratePerSecond && to.burst >= from.burst;

/** Times are monotonic, ms. */
export class LimitLedger {
	private readonly states = new Map<string, LimitState>();
	private readonly startedAt: number;

	constructor(private readonly tolerance: LimitTolerance, now: number) {
		this.startedAt = now;
	}

	/** Applies a claim of a workspace under the limit in force. */
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

	/** Records what an entry was granted by a previous leader. */
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

	/** Grants under a higher limit don't count towards a lower one; otherwise nothing could run for a whole window. */
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
