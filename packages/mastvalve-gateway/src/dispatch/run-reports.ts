/**
 * What an entry has to report to the leader of its runs at engines: those that the leader doesn't know of, and what became of the others.
 */

import {RunEventKind, type DispatchClaim} from 'mastvalve-dispatch';
import type {TimedEvent} from './dispatch-batch.js';
import {DispatchRun} from './dispatch-run.js';

export class RunReports {
	private events: TimedEvent[] = [];
	private readonly runs = new Map<string, DispatchRun>();
	/** Runs that the leader doesn't know of. */
	private readonly unreported = new Set<DispatchRun>();

	/** `now` is a monotonic clock, ms; `onPending` is called when there is something to report. */
	constructor(private readonly now: () => number, private readonly onPending: () => void) {}

	/** Whether something is to be reported. */
	get isPending(): boolean {
		return this.events.length > 0 || this.unreported.size > 0;
	}

	/** Whether any run is in progress. */
	get hasRuns(): boolean {
		return this.runs.size > 0;
	}

	/** Counts a request that is sent to an engine; `isKnown` is whether the leader has assigned it. */
	beginRun(claim: DispatchClaim, endpoint: string, isKnown: boolean): DispatchRun {
		const run = new DispatchRun({
			claim, endpoint, startedAt: this.now(), listener: this,
		});
		this.runs.set(claim.id, run);
		if (!isKnown) {
			this.unreported.add(run);
			this.onPending();
		}

		return run;
	}

	/** Reports that an assigned engine is not used. */
	release(id: string): void {
		this.addEvent({id, kind: RunEventKind.Cancelled, at: this.now()});
	}

	onEvent(run: DispatchRun, kind: RunEventKind, duration: number | undefined): void {
		const at = this.now();
		const isEnd = kind !== RunEventKind.FirstByte;
		if (isEnd) {
			this.runs.delete(run.claim.id);
		}

		if (this.unreported.has(run)) {
			if (isEnd) {
				this.unreported.delete(run);
			}

			return;
		}

		this.addEvent({
			id: run.claim.id, kind, at, firstByteMs: isEnd ? undefined : Math.round(at - run.startedAt), duration,
		});
	}

	/** Returns what is to be reported, which then counts as reported. */
	take(): {events: TimedEvent[]; running: DispatchRun[]} {
		const {events} = this;
		const running = [...this.unreported];
		this.events = [];
		this.unreported.clear();
		return {events, running};
	}

	/** Returns all runs in progress, which then count as reported. */
	takeAll(): DispatchRun[] {
		this.unreported.clear();
		return [...this.runs.values()];
	}

	/** Marks all runs to be reported again: the leader may not know of them. */
	markAllUnreported(): void {
		this.events = [];
		this.runs.forEach(run => {
			this.unreported.add(run);
		});
	}

	private addEvent(event: TimedEvent): void {
		this.events.push(event);
		this.onPending();
	}
}
