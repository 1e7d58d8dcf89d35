/**
 * What the ledger counts for one workspace.
 */

import type {LimitWindow} from './limit-window.js';
import type {WorkspaceLimit} from './workspace.js';

/** Times are monotonic, ms. */
export type LimitState = {
	limit: WorkspaceLimit;
	window: LimitWindow;
	/** Window of a higher limit that was in force until recently; its grants must not be granted again. */
	superseded: {window: LimitWindow; until: number} | undefined;
	/** Claims that wait for a record: their sum and the largest. */
	waiting: {sum: number; largest: number};
	/** Time of the last record. */
	recordedAt: number;
	/** Number of the list of busy workspaces since which it is contained; undefined if it isn't. */
	busySince: number | undefined;
	/** Whether no entry may exceed its recent grants any more. */
	isReserveReleased: boolean;
	/** Time until which it is listed as busy because a claim was refused for the reserve. */
	reserveWantedUntil: number;
};

/** Returns the state of a workspace without claims. */
export const createLimitState = (limit: WorkspaceLimit, window: LimitWindow, now: number): LimitState => ({
	limit,
	window,
	superseded: undefined,
	waiting: {sum: 0, largest: 0},
	recordedAt: now,
	busySince: undefined,
	isReserveReleased: false,
	reserveWantedUntil: Number.NEGATIVE_INFINITY,
});

export const isSameLimit = (a: WorkspaceLimit, b: WorkspaceLimit): boolean =>
	a.unit === b.unit && a.ratePerSecond === b.ratePerSecond && a.burst === b.burst;

/** Whether a limit allows at least what the one before allowed. */
export const isRaisedLimit = (from: WorkspaceLimit, to: WorkspaceLimit): boolean =>
	from.unit === to.unit && to.ratePerSecond >= from.ratePerSecond && to.burst >= from.burst;

/** Lists the windows that a claim must fit into. */
export const listWindows = ({window, superseded}: LimitState): LimitWindow[] => [window, ...(superseded ? [superseded.window] : [])];

/** Returns what counts as granted in the window. */
export const computeUsed = (state: LimitState, now: number): number => Math.max(...listWindows(state).map(window => window.computeUsed(now)));
