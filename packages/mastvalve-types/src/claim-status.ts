/**
 * States of a claim on a key that must run at most once.
 */

/** What is known of the call that holds a key. */
export enum ClaimStatus {
	/** Claimed; it may have been dispatched. */
	Running = 'running',
	/** It ran, and its answer is kept. */
	Done = 'done',
	/** Nothing was handed to an endpoint; the key may be claimed again. */
	NotRun = 'not-run',
	/** It may have run; it is never run again. */
	Unknown = 'unknown',
}
