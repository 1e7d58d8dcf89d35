/**
 * Estimates what assigning a request to an engine costs, in requests that are expected to miss their objective.
 *
 * An engine reads prompts between the steps of the answers that it generates, so each long prompt makes these answers pause. The cost
 * of a request therefore includes the answers that its prompt is expected to interrupt, and the probability that prompts of other
 * requests interrupt its own answer.
 */

import type {DispatchClaim} from './dispatch-claim.js';
import type {EngineCandidate} from './engine-candidate.js';
import type {EngineLoad, PendingReading} from './engine-load.js';
import {estimateInterruption, estimateMissProbability} from './estimate-risk.js';
import type {PromptCopy} from './prompt-copy.js';

/** What is known about a candidate for one claim. */
export type AssignmentInput = {
	candidate: EngineCandidate;
	load: EngineLoad;
	/** Prompt tokens that the engine keeps. */
	cachedTokens: number;
	/** Time to read the rest of the prompt, after the copy if there is one, ms. */
	readMs: number;
	/** Prompt parts that it copies from another engine before; undefined if none. */
	copy?: PromptCopy;
	/** Time to generate the answer, ms. */
	answerMs: number;
	/** What the engine has to read before. */
	pending: PendingReading;
	/** Whether the engine has failed or stalled recently. */
	isSuspect: boolean;
};

/** Cost of an engine that has failed recently or whose heartbeats are overdue: others are preferred unless they are expected to miss the objective. */
const suspectCost = 2;
const silentCost = 1;
/** Cost of a full engine: this request or one that runs there is preempted, and its prompt is read again. */
const fullCost = 2;
/** Share of an engine's capacity up to which no run is preempted, although the lengths of answers are estimates. */
const safeTokenShare = 0.9;
/** Cost of occupying an engine for the time of one objective: later requests wait for it. */
const occupancyCost = 0.3;
/** Cost of a delay by the time of one objective: a request that misses its objective should still be served early. */
const latenessCost = 0.05;

/** Returns the probability that reading prompts for `pendingMs` makes an answer pause for too long. */
export const estimatePauseProbability = ({pauseMs}: Pick<DispatchClaim, 'pauseMs'>, pendingMs: number): number =>
	(pauseMs === undefined ? 0 : estimateMissProbability(pendingMs, pauseMs));

/** Returns the time until the prompt is read, ms. A copy is made while the engine reads the prompts ahead. */
export const estimateFirstByteMs = ({readMs, pending, copy}: Pick<AssignmentInput, 'readMs' | 'pending' | 'copy'>): number =>
	Math.max(pending.aheadMs, copy?.readyMs ?? 0) + readMs;

const estimateOwnCost = (claim: DispatchClaim, input: AssignmentInput, now: number): number => {
	const {load, answerMs} = input;
	const firstByteMs = estimateFirstByteMs(input);
	const isMissed = claim.objectiveMs <= 0;
	const missed = isMissed ? 0 : estimateMissProbability(firstByteMs, claim.objectiveMs);
	const interrupted = isMissed || claim.pauseMs === undefined ? 0 : estimateInterruption(load.disturbanceRate(now), answerMs);
	return 1 - ((1 - missed) * (1 - interrupted)) + (latenessCost * firstByteMs / Math.max(1, claim.targetMs));
};

/** Returns the number of generated answers that are expected to pause for too long because of this prompt. */
export const estimateDisturbance = ({load, readMs, pending: {pendingMs}}: Pick<AssignmentInput, 'load' | 'readMs' | 'pending'>): number => {
	let sum = 0;
	load.generatingByPause.forEach((count, pauseMs) => {
		sum += count * (estimateMissProbability(pendingMs + readMs, pauseMs) - estimateMissProbability(pendingMs, pauseMs));
	});
	return sum;
};

/** Whether an engine can't run a claim beside what it runs. */
export const isFull = (claim: DispatchClaim, {candidate, load}: AssignmentInput): boolean =>
	load.size >= candidate.slots || load.tokens + claim.promptTokens + claim.outputTokens > candidate.tokenCapacity * safeTokenShare;

/** Returns the cost of assigning a claim to a candidate. */
export const estimateAssignmentCost = (claim: DispatchClaim, input: AssignmentInput, now: number): number =>
	estimateOwnCost(claim, input, now)
	+ estimateDisturbance(input)
	+ (occupancyCost * input.readMs / Math.max(1, claim.targetMs))
	+ (isFull(claim, input) ? fullCost : 0)
	+ (input.isSuspect ? suspectCost : 0)
	+ (input.candidate.isSilent ? silentCost : 0);
