/**
 * Decides whether an engine copies kept prompt parts from another one before it reads the rest of a prompt. Pure functions.
 */

import type {DispatchClaim} from './dispatch-claim.js';
import type {AssignmentInput} from './estimate-cost.js';
import type {PromptCopy} from './prompt-copy.js';

/** What is known about the copies that an engine may make for one claim. */
export type CopyInput = {
	source: string;
	/** Tokens that the source has read of the prompt. */
	sourceTokens: number;
	/** Time to copy one token, ms. */
	msPerToken: number;
	/** Time until the links of both engines are free, ms. */
	linkWaitMs: number;
	/** Expected hit rate of copies of the service. */
	hitRate: number;
};

/** Time to set up a copy, ms. It isn't part of the configuration. */
const setupMs = 3;

/**
 * Whether a copy is worthwhile. The caller must get the first byte sooner, so the copy must save more than the part of its duration that
 * doesn't overlap with reading the prompts ahead. It must also save more than the time for which it occupies both links, since later
 * copies wait for these.
 */
export const isWorthwhile = ({readyMs, linkMs}: Pick<PromptCopy, 'readyMs' | 'linkMs'>, savedMs: number, aheadMs: number): boolean =>
	savedMs > Math.max(linkMs, readyMs - aheadMs);

/** Names each field, so that all candidates are objects of the same shape: a claim is estimated for each of them, and mixed shapes are slower. */
const withCopy = ({candidate, load, cachedTokens, answerMs, pending, isSuspect}: AssignmentInput, readMs: number, copy: PromptCopy): AssignmentInput => ({
	candidate, load, cachedTokens, readMs, copy, answerMs, pending, isSuspect,
});

/** Returns the estimates of an engine that copies before it reads; unchanged if a copy isn't worthwhile. */
export const planCopy = (claim: DispatchClaim, input: AssignmentInput, {source, sourceTokens, msPerToken, linkWaitMs, hitRate}: CopyInput): AssignmentInput => {
	const uncachedTokens = claim.promptTokens - input.cachedTokens;
	const tokens = Math.min(sourceTokens, claim.promptTokens) - input.cachedTokens;
	if (tokens <= 0) {
		return input;
	}

	const expectedTokens = Math.round(tokens * hitRate);
	const linkMs = setupMs + (tokens * msPerToken);
	const readyMs = linkWaitMs + linkMs;
	const savedMs = input.readMs * expectedTokens / uncachedTokens;
	return isWorthwhile({readyMs, linkMs}, savedMs, input.pending.aheadMs)
		? withCopy(input, input.readMs - savedMs, {
			source, tokens, expectedTokens, linkMs, readyMs,
		})
		: input;
};
