/**
 * Injectable clocks, so that tests can control time.
 */

import {performance} from 'node:perf_hooks';

/** A monotonic clock and a wall clock, both in milliseconds. */
export type Clock = {
	/** Monotonic time. Only differences between readings are meaningful. */
	now: () => number;
	/** Time since the Unix epoch. May step forwards or backwards. */
	wall: () => number;
};

/** The clocks of the operating system. */
export const systemClock: Clock = {
	now: () => performance.now(),
	wall: () => Date.now(),
};
