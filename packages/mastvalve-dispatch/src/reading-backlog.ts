/**
 * Bounds the backlog of prompts at each engine.
 *
 * The bound is derived from the shortest objective among the claims, for the first byte or for pauses: with a longer backlog a new
 * request with that objective, or an answer that the engine generates, would miss it. A request beyond the bound would gain nothing
 * from being at the engine: more urgent ones overtake it, and it can't go to another engine that becomes free first.
 */

import type {DispatchClaim} from './dispatch-claim.js';
import {
	estimateDisturbance, estimateFirstByteMs, isFull, type AssignmentInput,
} from './estimate-cost.js';

/** Factor by which a healthy engine may slow down before the leader learns of it; objectives are met in spite of it. */
export const slowdownMargin = 2.5;

/** Number of answers that a claim with its whole objective left may be expected to interrupt. */
const maxInterruptions = 0.25;

/**
 * Whether a claim may be assigned to an engine in spite of the answers that it would interrupt there. A claim with time to spare waits
 * for an engine where it interrupts fewer; the less time is left, the more it may interrupt.
 */
export const isInterruptionAcceptable = (claim: DispatchClaim, input: AssignmentInput): boolean => {
	const spareMs = claim.objectiveMs - estimateFirstByteMs(input);
	return spareMs <= 0 || estimateDisturbance(input) <= maxInterruptions * claim.targetMs / spareMs;
};

export class ReadingBacklog {
	private shortestObjectiveMs = Number.POSITIVE_INFINITY;

	/** Longest time that an engine may need for all prompts in its backlog, ms. */
	get maxMs(): number {
		return this.shortestObjectiveMs / slowdownMargin;
	}

	/** Learns the objectives of a claim. */
	recordObjectives({targetMs, pauseMs}: DispatchClaim): void {
		this.shortestObjectiveMs = Math.min(this.shortestObjectiveMs, targetMs, pauseMs ?? Number.POSITIVE_INFINITY);
	}

	/** Whether an engine may be sent a claim now. One without a backlog may be sent any prompt that it can hold. */
	allows(claim: DispatchClaim, input: AssignmentInput): boolean {
		const {load, readMs, pending} = input;
		return load.size === 0 || (!isFull(claim, input) && (load.queuedCount === 0 || pending.pendingMs + readMs <= this.maxMs));
	}
}
