/**
 * Random numbers that a seed repeats.
 */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Gives numbers in [0, 1). */
export type Random = () => number;

/** A generator that a seed repeats. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(Math.trunc(seed));
	return () => uniformFloat64(generator);
};

/** A whole number in [0, bound). */
export const pickBelow = (random: Random, bound: number): number => Math.floor(random() * bound);
