/**
 * Seeded pseudo-random numbers.
 */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a number in [0, 1). */
export type Random = () => number;

/** Creates a generator that returns the same sequence for the same seed. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(Math.trunc(seed));
	return () => uniformFloat64(generator);
};

/** Draws an integer in [0, bound). */
export const pickBelow = (random: Random, bound: number): number => Math.floor(random() * bound);
