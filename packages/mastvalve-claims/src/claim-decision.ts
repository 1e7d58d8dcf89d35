/**
 * What the claim table answers.
 */

import type {KeptAnswer} from 'mastvalve-types';

/** Kinds of answers to a claim request. */
export enum ClaimDecisionKind {
	/** This attempt holds the key: dispatch once. */
	Granted = 'granted',
	/** Another attempt holds it and may be running. */
	Running = 'running',
	/** It ran; the answer is kept. */
	Done = 'done',
	/** It may have run and is not repeated. */
	Unknown = 'unknown',
	/** The key was used for another request. */
	Mismatch = 'mismatch',
	/** The key is older than what is kept; not run. */
	TooOld = 'too-old',
	/** The key claims to be issued in the future; not run. */
	TooNew = 'too-new',
	/** The table is full; not run. */
	Full = 'full',
}

/** An answer to a claim request. */
export type ClaimDecision
	= | {kind: ClaimDecisionKind.Granted; token: number}
		| {kind: ClaimDecisionKind.Done; answer?: KeptAnswer}
		| {kind: Exclude<ClaimDecisionKind, ClaimDecisionKind.Granted | ClaimDecisionKind.Done>};
