/**
 * A claim that waits at the leader for an engine.
 */

import type {DispatchClaim} from './dispatch-claim.js';

/** Times are monotonic, ms. */
export type WaitingClaim = {
	claim: DispatchClaim;
	/** Entry that the decision goes to. */
	entry: string;
	queuedAt: number;
	/** Claims with the same key can be served by the same engines. */
	engineKey: string;
	/** Key under which the tokens of its workspace are counted. */
	shareKey: string;
	/** Shortest time in which an engine was expected to read its prompt, ms. */
	readMs: number;
};

/** Returns when the first byte is late. */
export const objectiveAt = ({claim, queuedAt}: WaitingClaim): number => queuedAt + claim.objectiveMs;

/** Returns when the caller gives up. */
export const deadlineAt = ({claim, queuedAt}: WaitingClaim): number => queuedAt + claim.remainingMs;

/** Whether no engine can read its prompt before its caller gives up. */
export const isExpired = (waiting: WaitingClaim, now: number): boolean => now + waiting.readMs > deadlineAt(waiting);
