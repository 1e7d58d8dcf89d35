/**
 * States of a claim on a key whose call must run at most once.
 */

/** Execution state of the call that holds a key. */
export enum ClaimStatus {
	/** Claimed; the call may have been dispatched. */
	Running = 'running',
	/** The call ran and its response is stored. */
	Done = 'done',
	/** No endpoint ran the call; the key can be claimed again. */
	NotRun = 'not-run',
	/** The call may have run and is never run again. */
	Unknown = 'unknown',
}
