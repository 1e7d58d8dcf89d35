/**
 * Probabilities that requests miss their objectives. Pure functions.
 *
 * Engines are slowed down for fractions of a second without notice, so an expected time below the objective may still be too late,
 * and one above it may still be in time.
 */

/** Steepness: at 0.7 of the objective a quarter of the requests are expected to miss it, at 0.4 one in sixteen. */
const steepness = 3;
const msPerSecond = 1000;

/** Returns the probability that something expected to take `expectedMs` takes longer than `limitMs`. */
export const estimateMissProbability = (expectedMs: number, limitMs: number): number => {
	if (limitMs <= 0) {
		return 1;
	}

	const ratio = (Math.max(0, expectedMs) / limitMs) ** steepness;
	return ratio / (1 + ratio);
};

/** Returns the probability that an answer which takes `durationMs` to generate is interrupted at least once. */
export const estimateInterruption = (disturbancesPerSecond: number, durationMs: number): number =>
	1 - Math.exp(-disturbancesPerSecond * durationMs / msPerSecond);
