/**
 * Decisions of the claim table.
 */

import type {StoredResponse} from 'mastvalve-types';

export enum ClaimDecisionKind {
	/** The attempt holds the key and may be dispatched once. */
	Granted = 'granted',
	/** Another attempt holds the key and may still be running. */
	Running = 'running',
	/** The call has run; its answer is returned if it was stored. */
	Done = 'done',
	/** The call may have run and is not repeated. */
	Unknown = 'unknown',
	/** The key was used for a different request. */
	Mismatch = 'mismatch',
	/** The key was issued before the retention period; the call is not run. */
	TooOld = 'too-old',
	/** The key's issue time is too far in the future; the call is not run. */
	TooNew = 'too-new',
	/** The table is at capacity; the call is not run. */
	Full = 'full',
}

/** Decision on a claim request. `token` is the log index of the granted request. */
export type ClaimDecision
	= | {kind: ClaimDecisionKind.Granted; token: number}
		| {kind: ClaimDecisionKind.Done; answer?: StoredResponse}
		| {kind: Exclude<ClaimDecisionKind, ClaimDecisionKind.Granted | ClaimDecisionKind.Done>};
