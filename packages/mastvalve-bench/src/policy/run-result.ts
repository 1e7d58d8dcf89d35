/**
 * What a run of a policy is asked for, and what it gives.
 */

import type {Priority} from 'mastvalve-types';

/** What a run gave. */
export type RunResult = {
	/** Requests that were served within target, by class, and all of the class. */
	served: Record<Priority, {within: number; all: number}>;
	/** Requests within target a second and accelerator (one an engine). */
	attainment: number;
	moves: number;
	refused: number;
	/** Longest wait for a model that had to be loaded, ms. */
	worstColdMs: number;
	attemptsPerRequest: number;
	/** Largest share of an engine's requests over the mean, while it lived. */
	memoryViolations: number;
};

/** Knobs of a run. */
export type RunOptions = {seed: number; moveWeight?: number; ratePerReplica?: number; loadFactor?: number};
