/**
 * A request at an engine as its entry reports it to the leader.
 */

import {RunEventKind, type DispatchClaim} from 'mastvalve-dispatch';

/** Receives the events of a run. */
export type RunListener = {
	onEvent: (run: DispatchRun, kind: RunEventKind, duration: number | undefined) => void;
};

export type DispatchRunOptions = {
	claim: DispatchClaim;
	endpoint: string;
	/** Monotonic, ms. */
	startedAt: number;
	listener: RunListener;
};

export class DispatchRun {
	/** Whether the first byte of the answer has arrived. */
	hasBegun = false;
	/** How long work takes at the endpoint, as its answer reported; 1 is as usual in its service. */
	duration: number | undefined;
	readonly claim: DispatchClaim;
	readonly endpoint: string;
	readonly startedAt: number;
	private readonly listener: RunListener;
	private hasEnded = false;

	constructor({claim, endpoint, startedAt, listener}: DispatchRunOptions) {
		this.claim = claim;
		this.endpoint = endpoint;
		this.startedAt = startedAt;
		this.listener = listener;
	}

	recordFirstByte(): void {
		if (!this.hasBegun && !this.hasEnded) {
			this.hasBegun = true;
			this.listener.onEvent(this, RunEventKind.FirstByte, this.duration);
		}
	}

	/** Records how the run has ended; only the first call counts. */
	end(kind: RunEventKind.Completed | RunEventKind.Failed | RunEventKind.Cancelled): void {
		if (!this.hasEnded) {
			this.hasEnded = true;
			this.listener.onEvent(this, kind, this.duration);
		}
	}
}
