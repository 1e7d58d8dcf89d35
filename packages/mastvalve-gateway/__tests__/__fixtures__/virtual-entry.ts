/**
 * An entry with one processor in virtual time: it works off the requests that it has taken in their order.
 */

import {ConnectionAdmission} from '../../src/index.js';

/** Work of closing a connection, as a part of a request's. */
const closingShare = 0.06;

/** Connections that arrived within a step. */
export type VirtualStep = {at: number; taken: number; closed: number; waitMs: number; isBusy: boolean};

type Work = {leftMs: number; isRequest: boolean; onDone?: () => void};

const stepMs = 10;

export class VirtualEntry {
	readonly steps: VirtualStep[] = [];
	private now = 0;
	private busyMs = 0;
	private readonly queue: Work[] = [];
	private readonly admission: ConnectionAdmission;

	constructor(private readonly requestMs: number, private readonly takesAll = false) {
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
		this.work(slowness);
		const admitted = Array.from({length: arrivals}, () => this.admission.admit() || this.takesAll);
		admitted.forEach(isTaken => {
			this.queue.push({leftMs: isTaken ? this.requestMs : this.requestMs * closingShare, isRequest: isTaken});
			if (isTaken) {
				this.admission.recordRequest();
			}
		});
		const taken = admitted.filter(Boolean).length;
		this.steps.push({
			at: this.now, taken, closed: arrivals - taken, waitMs: this.queue.reduce((total, {leftMs}) => total + leftMs, 0) * slowness, isBusy,
		});
	}

	between(from: number, to: number): VirtualStep[] {
		return this.steps.filter(({at}) => at > from && at <= to);
	}

	private work(slowness: number): void {
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
			}
		}
	}
}
