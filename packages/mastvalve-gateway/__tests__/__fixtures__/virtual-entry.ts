/**
 * An entry with one processor in virtual time: it works off the requests that it has taken in their order.
 */

import {ConnectionAdmission} from '../../src/index.js';

/** Work of closing a connection, as a part of a request's. */
const closingShare = 0.06;

/** Connections that arrived within a step. */
export type VirtualStep = {at: number; taken: number; closed: number; waitMs: number; isBusy: boolean};

/** A connection that was accepted, and whether it was kept. */
type Accepted = {arrivedAt: number; isTaken: boolean};

type Work = {leftMs: number; isRequest: boolean; onDone?: () => void};

const stepMs = 10;

export class VirtualEntry {
	readonly steps: VirtualStep[] = [];
	private readonly takesAll: boolean;
	private readonly acceptsSlowly: boolean;
	private now = 0;
	private busyMs = 0;
	private readonly queue: Work[] = [];
	/** When the connections arrived that the system holds for the entry. */
	private readonly unaccepted: number[] = [];
	private readonly admission: ConnectionAdmission;

	/** `acceptsSlowly` is whether it accepts a connection only when its other work is done, as a loop does that has a turn for each. */
	constructor(private readonly requestMs: number, {takesAll = false, acceptsSlowly = false} = {}) {
		this.takesAll = takesAll;
		this.acceptsSlowly = acceptsSlowly;
		this.admission = new ConnectionAdmission({
			now: () => this.now,
			readBusyMs: () => this.busyMs,
			probeDelay: report => {
				const from = this.now;
				this.queue.push({
					leftMs: 0, isRequest: false, onDone: () => {
						report(this.now - from);
					},
				});
			},
		});
	}

	/** Lets 10 ms pass, in which connections arrive; `slowness` is how much longer all work takes. */
	step(arrivals: number, slowness = 1): void {
		this.now += stepMs;
		const isBusy = this.queue.length > 0;
		this.unaccepted.push(...Array.from({length: arrivals}, () => this.now));
		const accepted: Accepted[] = [];
		this.work(slowness, () => {
			accepted.push(...this.accept(1));
		});
		accepted.push(...this.accept(this.acceptsSlowly && this.queue.length > 0 ? 0 : (this.acceptsSlowly ? 1 : this.unaccepted.length)));
		const taken = accepted.filter(({isTaken}) => isTaken).length;
		const waitedMs = Math.max(0, ...accepted.filter(({isTaken}) => isTaken).map(({arrivedAt}) => this.now - arrivedAt));
		this.steps.push({
			at: this.now, taken, closed: accepted.length - taken, waitMs: waitedMs + (this.queue.reduce((total, {leftMs}) => total + leftMs, 0) * slowness), isBusy,
		});
	}

	between(from: number, to: number): VirtualStep[] {
		return this.steps.filter(({at}) => at > from && at <= to);
	}

	/** Accepts connections that the system holds, the oldest first. */
	private accept(count: number): Accepted[] {
		return this.unaccepted.splice(0, count).map(arrivedAt => {
			const isTaken = this.admission.admit() || this.takesAll;
			this.queue.push({leftMs: isTaken ? this.requestMs : this.requestMs * closingShare, isRequest: isTaken});
			if (isTaken) {
				this.admission.recordRequest();
			}

			return {arrivedAt, isTaken};
		});
	}

	/** `onDone` is called when an entry that accepts slowly has done a piece of work. */
	private work(slowness: number, onDone: () => void): void {
		let leftMs = stepMs;
		while (leftMs > 0 && this.queue.length > 0) {
			const [first] = this.queue;
			const doneMs = Math.min(leftMs, first!.leftMs * slowness);
			first!.leftMs -= doneMs / slowness;
			leftMs -= doneMs;
			this.busyMs += doneMs;
			if (first!.leftMs <= 1e-9) {
				this.queue.shift();
				first!.onDone?.();
				if (first!.isRequest) {
					this.admission.recordEnd();
				}

				if (this.acceptsSlowly && this.queue.length === 0) {
					onDone();
				}
			}
		}
	}
}
