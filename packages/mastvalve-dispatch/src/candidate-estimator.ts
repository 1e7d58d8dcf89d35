/**
 * Estimates, for each engine that can serve a claim, how long it would take to read the prompt and to generate the answer.
 */

import type {DispatchClaim} from './dispatch-claim.js';
import type {EngineCandidate} from './engine-candidate.js';
import type {EngineStates, ListHolders} from './engine-states.js';
import type {EngineSuspicions} from './engine-suspicions.js';
import type {AssignmentInput} from './estimate-cost.js';
import type {OutputSpeed} from './output-speed.js';
import {listPrefixes, type PromptPrefix} from './prompt-cache.js';
import type {PromptCopies} from './prompt-copies.js';
import type {ReadSpeed} from './read-speed.js';

export type CandidateEstimatorOptions = {
	listHolders: ListHolders;
	engines: EngineStates;
	speed: ReadSpeed;
	outputSpeed: OutputSpeed;
	suspicions: EngineSuspicions;
	copies: PromptCopies;
};

/** A claim with what its estimates at all engines have in common. */
type PreparedClaim = {claim: DispatchClaim; prefixes: readonly PromptPrefix[]; msPerToken: number};

/** Times are monotonic, ms. */
export class CandidateEstimator {
	constructor(private readonly options: CandidateEstimatorOptions) {}

	/** Lists the engines that can serve a claim, with their estimates. */
	list(claim: DispatchClaim, now: number): readonly AssignmentInput[] {
		const {listHolders, engines, speed, copies} = this.options;
		const prefixes = listPrefixes(claim);
		const msPerToken = speed.usualMsPerToken(claim.model);
		const inputs = listHolders(claim)
			.filter(({id}) => !claim.excluded.includes(id))
			.map(candidate => this.estimate({claim, prefixes, msPerToken}, candidate, now));
		return prefixes.length > 0 && inputs.some(({candidate}) => candidate.copyMsPerToken !== undefined)
			? copies.plan(claim, inputs, engine => engines.getOrCreate(engine).cache.countReadTokens(prefixes), now)
			: inputs;
	}

	private estimate({claim, prefixes, msPerToken}: PreparedClaim, candidate: EngineCandidate, now: number): AssignmentInput {
		const {engines, speed, outputSpeed, suspicions} = this.options;
		const {load, cache} = engines.getOrCreate(candidate.id);
		const cachedTokens = cache.countCachedTokens(prefixes);
		const factor = speed.factorNow(candidate.id, now);
		const pending = load.describePending(claim.urgency, now, run => run.uncachedTokens * factor * speed.usualMsPerToken(run.claim.model));
		return {
			candidate,
			load,
			cachedTokens,
			readMs: Math.max(0, claim.promptTokens - cachedTokens) * msPerToken * factor,
			copy: undefined,
			answerMs: claim.outputTokens * outputSpeed.msPerToken * speed.factorOf(candidate.id),
			pending,
			isSuspect: suspicions.isSuspect(candidate.id, now) || suspicions.isStalled(pending.head),
		};
	}
}
