/**
 * Endpoint selection policies. Entries select by score (docs/design/routing.md); the other policies are baselines that the bench
 * compares with it.
 */

import {minBy, pickBelow} from 'mastvalve-utils';
import type {Candidate, ChooseCandidate} from './candidate.js';

/** Weights of the score, in units of one request of load. */
export type ScoreWeights = {
	/** Bonus for a prompt that is entirely in the prefix cache. */
	prefixHit: number;
	/**
	 * Penalty for a model that may have to be loaded. Exceeds the number of requests that an endpoint runs at once, since queueing
	 * costs less than loading.
	 */
	modelLoad: number;
	/** Penalty for a recent failure or refusal. */
	recentFailure: number;
};

/** Chosen by the results of `npm run bench -- policy`. */
export const defaultScoreWeights: ScoreWeights = {prefixHit: 4, modelLoad: 64, recentFailure: 1000};

/** Estimates the cost of sending a request to a candidate, in units of one request of load; lower is better. */
export const scoreCandidate = (candidate: Candidate, weights: ScoreWeights = defaultScoreWeights): number =>
	candidate.reportedLoad
	+ candidate.ownInFlight
	- (weights.prefixHit * candidate.prefixShare)
	+ (candidate.isResident ? 0 : weights.modelLoad)
	+ (candidate.isSuspect ? weights.recentFailure : 0);

/** Selects uniformly at random. */
export const chooseRandomly: ChooseCandidate = (candidates, random) => candidates[pickBelow(random, candidates.length)];

/** Selects the lowest reported load, ignoring requests in flight; herds when reports are stale. */
export const chooseLeastReportedLoad: ChooseCandidate = candidates => minBy(candidates, candidate => candidate.reportedLoad);

/** Selects the best score; the scan starts at a random candidate to spread ties. */
export const chooseByScore: ChooseCandidate = (candidates, random) => {
	const offset = pickBelow(random, candidates.length);
	const rotated = [...candidates.slice(offset), ...candidates.slice(0, offset)];
	return minBy(rotated, scoreCandidate);
};

/** Selects the better score of two random candidates (power of two choices). */
export const chooseBestOfTwo: ChooseCandidate = (candidates, random) => {
	const first = pickBelow(random, candidates.length);
	const second = (first + 1 + pickBelow(random, candidates.length - 1)) % Math.max(1, candidates.length);
	return minBy([candidates[first], candidates[second]].filter(candidate => candidate !== undefined), scoreCandidate);
};
