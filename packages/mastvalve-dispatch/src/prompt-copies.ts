/**
 * Plans copies of kept prompt parts for the engines that can serve a claim, and accounts for those under way.
 */

import {CopyHitRates, measureHitRate} from './copy-hit-rates.js';
import {CopyLinks} from './copy-links.js';
import {CopySources} from './copy-sources.js';
import type {DispatchClaim} from './dispatch-claim.js';
import type {EngineRun} from './engine-run.js';
import type {AssignmentInput} from './estimate-cost.js';
import {planCopy} from './plan-copy.js';

/** Returns the tokens of a claim's prompt that an engine has read. */
export type ReadTokens = (engine: string) => number;

/** How long an engine took to read a prompt after a copy. */
export type CopyReading = {
	/** When the prompt was read. */
	readAt: number;
	/** Time since the prompt before it was read, or since its assignment, ms. */
	readMs: number;
	/** Expected time to read one token, ms. */
	msPerToken: number;
};

/** Below this hit rate the source of a copy is taken to lack the parts. */
const minHitRate = 0.5;

/** Times are monotonic, ms. */
export class PromptCopies {
	private readonly links = new CopyLinks();
	private readonly hitRates = new CopyHitRates();

	/** Adds to each engine the copy that it should make, if that saves time. Engines that failed, stalled or fell silent are no sources. */
	plan(claim: DispatchClaim, inputs: readonly AssignmentInput[], readTokensOf: ReadTokens, now: number): readonly AssignmentInput[] {
		const sources = new CopySources();
		inputs.forEach(({candidate: {id, failureDomain, isSilent}, isSuspect}) => {
			const tokens = isSuspect || isSilent ? 0 : readTokensOf(id);
			if (tokens > 0) {
				sources.add({
					id, failureDomain, tokens, linkWaitMs: this.links.waitMs(id, now),
				});
			}
		});
		return sources.isEmpty ? inputs : this.planFrom(claim, inputs, sources, now);
	}

	/** Records that a run begins with a copy. */
	begin({copy, engine, assignedAt}: EngineRun): void {
		if (copy) {
			this.links.occupy([copy.source, engine], assignedAt + copy.readyMs);
		}
	}

	/** Learns from the time that an engine took to read a prompt after a copy; returns whether the source seems to lack the parts. */
	recordRead({claim, copy, assignedAt, uncachedTokens}: EngineRun, {readAt, readMs, msPerToken}: CopyReading, now: number): boolean {
		if (!copy) {
			return false;
		}

		const waitMs = Math.max(0, assignedAt + copy.readyMs - (readAt - readMs));
		const withoutTokens = uncachedTokens + copy.expectedTokens;
		const sample = {
			tokens: copy.tokens, withoutMs: withoutTokens * msPerToken, withMs: waitMs + ((withoutTokens - copy.tokens) * msPerToken), measuredMs: readMs,
		};
		const hitRate = measureHitRate(sample);
		if (hitRate === undefined) {
			return false;
		}

		this.hitRates.record(claim.service, copy.tokens, hitRate, now);
		return hitRate < minHitRate;
	}

	/** Forgets an engine that is gone. */
	dropEngine(engine: string): void {
		this.links.dropEngine(engine);
	}

	private planFrom(claim: DispatchClaim, inputs: readonly AssignmentInput[], sources: CopySources, now: number): readonly AssignmentInput[] {
		const hitRate = this.hitRates.rateOf(claim.service, now);
		return inputs.map(input => {
			const {id, failureDomain, copyMsPerToken} = input.candidate;
			const source = sources.choose(failureDomain, input.cachedTokens);
			return source === undefined || copyMsPerToken === undefined
				? input
				: planCopy(claim, input, {
					source: source.id, sourceTokens: source.tokens, msPerToken: copyMsPerToken, linkWaitMs: Math.max(source.linkWaitMs, this.links.waitMs(id, now)), hitRate,
				});
		});
	}
}
