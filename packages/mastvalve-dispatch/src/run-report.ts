/**
 * What entries report about the requests that they sent to engines.
 */

import type {DispatchClaim} from './dispatch-claim.js';

export enum RunEventKind {
	/** The first byte of the answer has arrived: the prompt is read. */
	FirstByte = 'first-byte',
	/** The answer has ended whole. */
	Completed = 'completed',
	/** The engine refused the request, failed it or broke off its answer. */
	Failed = 'failed',
	/** The request was not sent, or its caller has left. */
	Cancelled = 'cancelled',
}

/** An event of one run. `ageMs` is the time since it happened, at the time of the call. */
export type RunEvent = {
	id: string;
	kind: RunEventKind;
	ageMs: number;
	/** Time from sending the request to its first byte, ms; only with `FirstByte`. */
	firstByteMs?: number;
	/** How long work takes at the endpoint now, as it reports in its answers; 1 is as usual in its service. */
	duration?: number;
};

/** A run in progress, as an entry reports it to a new leader. */
export type RunSnapshot = {
	claim: DispatchClaim;
	endpoint: string;
	/** Time since the request was sent, ms. */
	ageMs: number;
	hasBegun: boolean;
};
