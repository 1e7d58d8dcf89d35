/**
 * State of the limits at the leader of one term.
 */

import {
	excessRecord, ExcessShares, LimitLedger, type LimitTolerance, type RecordedCeilings,
} from 'mastvalve-access';
import type {FleetCommand} from 'mastvalve-fleet';
import {EndpointLimits, type ReadRecordedLimit} from 'mastvalve-limits';
import {GrantRecorder} from './grant-recorder.js';

export type LimitAccountOptions = {
	term: number;
	tolerance: LimitTolerance;
	readRecordedLimit: ReadRecordedLimit;
	recordedGrants: RecordedCeilings;
	propose: (command: FleetCommand) => Promise<boolean>;
	/** Monotonic, ms. */
	now: () => number;
};

/** A call of an entry; one without a number is never taken for a repeated one. */
type NumberedCall = {entry: string; number?: number};

/** Time for which the list of busy workspaces is reused, ms: entries need it only once they are disconnected. */
const busyTtlMs = 100;
/** Maximum length of the list of busy workspaces in an answer; without a list, entries treat all workspaces as busy. */
const maxBusyListed = 100;

export class LimitAccount {
	readonly term: number;
	readonly endpoints: EndpointLimits;
	readonly ledger: LimitLedger;
	readonly recorder: GrantRecorder;
	/** Entries whose earlier grants are known. */
	readonly synchronizedEntries = new Set<string>();
	/** Number of the last call that was handled, by entry. */
	private readonly handledCalls = new Map<string, number>();
	private busy: {workspaces: string[] | undefined; at: number} | undefined;

	constructor(private readonly options: LimitAccountOptions) {
		const {term, tolerance, readRecordedLimit, recordedGrants, propose, now} = options;
		this.term = term;
		this.endpoints = new EndpointLimits(term, readRecordedLimit);
		this.recorder = new GrantRecorder({committed: recordedGrants, propose, listDue: () => this.ledger.listDueRecords(now())});
		const startedAt = now();
		this.ledger = new LimitLedger(tolerance, startedAt, this.recorder, new ExcessShares({
			term, startedAt, windowMs: tolerance.windowMs, hasFormerShares: recordedGrants.read(excessRecord) > 0,
		}));
	}

	/** Whether a call of an entry was handled before. */
	hasHandled({entry, number = Number.POSITIVE_INFINITY}: NumberedCall): boolean {
		return number <= (this.handledCalls.get(entry) ?? Number.NEGATIVE_INFINITY);
	}

	noteHandled({entry, number}: NumberedCall): void {
		if (number !== undefined) {
			this.handledCalls.set(entry, number);
		}
	}

	/** Lists the workspaces that use half of their window or more; undefined if they are too many to list. */
	listBusy(): string[] | undefined {
		const now = this.options.now();
		if (!this.busy || now >= this.busy.at + busyTtlMs) {
			const workspaces = this.ledger.listBusy(now);
			this.busy = {workspaces: workspaces.length > maxBusyListed ? undefined : workspaces, at: now};
		}

		return this.busy.workspaces;
	}
}
