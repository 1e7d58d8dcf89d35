/**
 * Grants of all workspaces, counted at the leader.
 *
 * The replicated log holds a ceiling of the grants of each workspace (`grant-ceiling.ts`). A claim that would exceed it must be
 * recorded first: `needsRecord` returns whether that is so, `listDueRecords` what to record.
 */

import {EntryCalls} from './entry-calls.js';
import {wholeShare, type ExcessShare} from './excess-share.js';
import type {ExcessShares} from './excess-shares.js';
import {chooseCeiling} from './grant-ceiling.js';
import {unreportedGrantMs} from './grant-times.js';
import {
	computeUsed, createLimitState, isRaisedLimit, isSameLimit, listWindows, type LimitState,
} from './limit-state.js';
import {LimitWindow} from './limit-window.js';
import type {LimitTolerance} from './limit-tolerance.js';
import type {PriorGrant} from './prior-grant.js';
import type {Workspace, WorkspaceLimit} from './workspace.js';

/** Cost that an entry claims, or refunds if negative. */
export type LimitClaim = {workspace: string; cost: number};

/** Result of a claim: 0 if it is granted, otherwise the time until it can be granted, ms. */
export type LimitWaitMs = number;

/** The most that may have been granted to a workspace in its window, for the log. */
export type GrantRecord = {workspace: string; amount: number};

/** What the log holds of the grants. */
export type RecordedCeilings = {
	/** Returns the committed amount of a workspace; 0 if there is none. */
	read: (workspace: string) => number;
	/** Returns the workspaces with an amount. */
	listWorkspaces: () => string[];
};

/** Ceilings are lowered at most this often, ms. */
const minLoweringIntervalMs = 1000;
/** Retry time of a claim that only the reserve defers, ms: entries call this often, and the second call frees the reserve. */
const reserveRetryMs = 1000;
/** A workspace is busy from this share of its window on. */
const busyRatio = 0.5;

/** The log holds an amount under this name, which no workspace has, once some leader may have issued shares of the excess. */
export const excessRecord = '';

const noRecords: RecordedCeilings = {read: () => 0, listWorkspaces: () => []};

/** Times are monotonic, ms. */
export class LimitLedger {
	private readonly states = new Map<string, LimitState>();
	private readonly startedAt: number;
	private readonly calls: EntryCalls;
	private loweredAt = Number.NEGATIVE_INFINITY;
	/** Number of the last list of busy workspaces. */
	private listNumber = 0;
	/** Whether an entry would be issued a share if the log held that shares are issued. */
	private isExcessDue = false;
	/** Whether shares are issued with the last list of busy workspaces. */
	private isIssuing = false;

	/** Without `shares` entries are issued no share of the excess. */
	constructor(private readonly tolerance: LimitTolerance, now: number, private readonly recorded: RecordedCeilings = noRecords, private readonly shares?: ExcessShares) {
		this.startedAt = now;
		this.calls = new EntryCalls(tolerance.windowMs);
	}

	/** Records a call of an entry. Its grants count by their true age again if it was silent. */
	noteCall(entry: string, now: number, held?: ExcessShare): void {
		this.calls.note(entry, now);
		this.shares?.noteCall(entry, held, now);
	}

	/** Issues to an entry its share of the excess, for workspaces that aren't in the last list of busy ones. */
	issueShare(entry: string, isWanted: boolean, now: number): ExcessShare | undefined {
		this.isExcessDue ||= isWanted && this.shares !== undefined;
		return this.shares?.issue(entry, {isWanted, isIssuing: this.isIssuing && this.recorded.read(excessRecord) > 0, list: this.listNumber}, now);
	}

	/** Applies a claim of an entry for a workspace under the limit in force. */
	applyClaim({limit, name}: Workspace, cost: number, now: number, entry?: string): LimitWaitMs {
		if (!limit) {
			return 0;
		}

		const state = this.findOrCreateState(name, limit, now);
		const windows = listWindows(state);
		if (cost < 0) {
			windows.forEach(each => {
				each.refund(-cost, entry);
			});
			return 0;
		}

		const waitMs = this.computeWaitMs(state, cost, now);
		if (waitMs === 0) {
			windows.forEach(each => {
				each.take(cost, now, entry);
			});
		}

		return waitMs;
	}

	/** Whether the windows allow a claim and the recorded ceiling doesn't. */
	needsRecord({limit, name}: Workspace, cost: number, now: number): boolean {
		if (!limit || cost <= 0) {
			return false;
		}

		const state = this.findOrCreateState(name, limit, now);
		const isAllowed = this.computeWaitMs(state, cost, now) === 0;
		return isAllowed && computeUsed(state, now) + cost > this.readCeiling(name, state);
	}

	/** Adds a claim that waits for a record. */
	noteWaiting({limit, name}: Workspace, cost: number, now: number): void {
		if (limit) {
			const {waiting} = this.findOrCreateState(name, limit, now);
			waiting.sum += cost;
			waiting.largest = Math.max(waiting.largest, cost);
		}
	}

	/** Lists what to record now, for all workspaces at once; the claims that wait for it are forgotten. */
	listDueRecords(now: number): GrantRecord[] {
		const mayLower = now >= this.loweredAt + minLoweringIntervalMs;
		const due = [...this.states].flatMap(([name, state]) => this.chooseRecord(name, state, mayLower, now));
		const unused = mayLower ? this.listUnusedRecords(now) : [];
		this.loweredAt = unused.length > 0 || due.some(({workspace, amount}) => amount < this.recorded.read(workspace)) ? now : this.loweredAt;
		return [...due, ...unused, ...this.listExcessRecord(mayLower, now)];
	}

	/** Lists the workspaces of whose window half or more is used, and those that need the reserve. */
	listBusy(now: number): string[] {
		this.listNumber += 1;
		this.isIssuing = this.recorded.read(excessRecord) > 0 && this.shares?.isWorthwhile === true;
		return [...this.states].filter(([, state]) => this.noteBusy(state, now)).map(([name]) => name);
	}

	/** Counts what an entry was granted by an earlier leader, or granted itself. */
	addPriorGrant({limit, name}: Workspace, grant: PriorGrant, now: number, entry?: string): void {
		if (limit) {
			this.findOrCreateState(name, limit, now).window.addPriorGrant(grant, now, entry);
		}
	}

	private noteBusy(state: LimitState, now: number): boolean {
		const isBusy = now < state.reserveWantedUntil || computeUsed(state, now) >= busyRatio * state.window.capacity;
		state.busySince = isBusy ? state.busySince ?? this.listNumber : undefined;
		state.isReserveReleased &&= isBusy;
		return isBusy;
	}

	private computeWaitMs(state: LimitState, cost: number, now: number): LimitWaitMs {
		const ratio = this.computeOutstandingRatio(state, now);
		const windows = listWindows(state);
		const waitMs = Math.max(...windows.map(window => window.computeWaitMs(cost, now, window.computeReserve(ratio))));
		if (waitMs === 0 || windows.some(window => window.computeWaitMs(cost, now) > 0)) {
			return waitMs;
		}

		state.reserveWantedUntil = now + this.tolerance.windowMs;
		return Math.min(waitMs, reserveRetryMs);
	}

	/** Returns the part of the excess that entries may still use; all of it while they may be issued more for this workspace. */
	private computeOutstandingRatio(state: LimitState, now: number): number {
		if (!this.shares || state.isReserveReleased) {
			return 0;
		}

		if (state.busySince === undefined) {
			return this.isIssuing ? 1 : this.shares.sumIssued(now) / wholeShare;
		}

		const parts = this.shares.sumIssuedBefore(state.busySince, now);
		state.isReserveReleased = parts === 0;
		return parts / wholeShare;
	}

	private readCeiling(name: string, {window}: LimitState): number {
		return this.recorded.read(name) + window.overdraft;
	}

	private chooseRecord(name: string, state: LimitState, mayLower: boolean, now: number): GrantRecord[] {
		const {window, waiting, recordedAt} = state;
		const chosen = chooseCeiling({
			ceiling: this.readCeiling(name, state),
			used: computeUsed(state, now),
			waiting: waiting.sum,
			largestWaiting: waiting.largest,
			capacity: window.capacity,
			unchangedMs: now - recordedAt,
			mayLower,
		});
		state.waiting = {sum: 0, largest: 0};
		const amount = chosen === undefined ? undefined : Math.max(0, Math.ceil(chosen - window.overdraft));
		if (amount === undefined || amount === this.recorded.read(name)) {
			return [];
		}

		state.recordedAt = now;
		return [{workspace: name, amount}];
	}

	/**
	 * Records that shares are issued before the first one is, and records that there are none once no entry holds any. The next leader then
	 * holds back nothing for them.
	 */
	private listExcessRecord(mayLower: boolean, now: number): GrantRecord[] {
		const isRecorded = this.recorded.read(excessRecord) > 0;
		const isUnused = mayLower && isRecorded && !this.isIssuing && this.shares?.sumIssued(now) === 0;
		const isDue = this.isExcessDue && !isRecorded && this.shares?.isWorthwhile === true;
		this.isExcessDue = false;
		return isDue || isUnused ? [{workspace: excessRecord, amount: isDue ? 1 : 0}] : [];
	}

	/** Records of earlier leaders, of workspaces that nobody has used since. */
	private listUnusedRecords(now: number): GrantRecord[] {
		const isExpired = now >= this.startedAt + this.tolerance.windowMs + unreportedGrantMs;
		return isExpired ? this.recorded.listWorkspaces().filter(name => name !== excessRecord && !this.states.has(name)).map(workspace => ({workspace, amount: 0})) : [];
	}

	private findOrCreateState(name: string, limit: WorkspaceLimit, now: number): LimitState {
		const known = this.states.get(name);
		if (!known) {
			const state = createLimitState(limit, this.createWindow(name, limit), now);
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

	private createWindow(name: string, limit: WorkspaceLimit): LimitWindow {
		const window = new LimitWindow(limit, this.tolerance, this.calls);
		window.countUnreported(this.recorded.read(name) + window.overdraft, this.startedAt);
		return window;
	}

	/** Grants under a higher limit don't count towards a lower one; otherwise nothing could run for a whole window. */
	private changeLimit(state: LimitState, limit: WorkspaceLimit, now: number): void {
		if (isRaisedLimit(state.limit, limit)) {
			state.window.raiseLimit(limit);
		} else {
			state.superseded = {window: state.window, until: now + this.tolerance.windowMs};
			state.window = new LimitWindow(limit, this.tolerance, this.calls);
		}

		state.limit = limit;
	}
}
