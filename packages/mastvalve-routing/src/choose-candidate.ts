/**
 * Ways to choose an endpoint. All are kept, since the bench measures them against each other; `chooseByScore` with
 * two sampled choices is what entries use (docs/design/routing.md).
 */

import {minBy, pickBelow} from 'mastvalve-utils';
import type {Candidate, ChooseCandidate} from './candidate.js';

/** Weights of the score, in requests. */
export type ScoreWeights = {
	/** What a whole prompt found in the prefix cache is worth. */
	prefix: number;
	/** What a load costs that is not done yet. Above what an endpoint runs at once: a queue is better than a load. */
	onDemand: number;
	/** What a recent failure costs. */
	suspect: number;
};

/** Values that `npm run bench -- policy` speaks for. */
export const defaultScoreWeights: ScoreWeights = {prefix: 4, onDemand: 64, suspect: 1000};

/** Expected work ahead of a request at a candidate, in requests; lower is better. */
export const scoreCandidate = (candidate: Candidate, weights: ScoreWeights = defaultScoreWeights): number =>
	candidate.reportedLoad
	+ candidate.ownInFlight
	- (weights.prefix * candidate.prefixShare)
	+ (candidate.isResident ? 0 : weights.onDemand)
	+ (candidate.isSuspect ? weights.suspect : 0);

/** Any, evenly. */
export const chooseRandomly: ChooseCandidate = (candidates, random) => candidates[pickBelow(random, candidates.length)];

/** The least loaded by its last report alone; herds when reports lag. */
export const chooseLeastReported: ChooseCandidate = candidates => minBy(candidates, candidate => candidate.reportedLoad);

/** The best score of all, ties broken evenly. */
export const chooseByScore: ChooseCandidate = (candidates, random) => {
	const offset = pickBelow(random, candidates.length);
	const rotated = [...candidates.slice(offset), ...candidates.slice(0, offset)];
	return minBy(rotated, scoreCandidate);
};

/** The better of two that are drawn evenly (power of two choices). */
export const chooseBestOfTwo: ChooseCandidate = (candidates, random) => {
	const first = pickBelow(random, candidates.length);
	const second = (first + 1 + pickBelow(random, candidates.length - 1)) % Math.max(1, candidates.length);
	return minBy([candidates[first], candidates[second]].filter(candidate => candidate !== undefined), scoreCandidate);
};
