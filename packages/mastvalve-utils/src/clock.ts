/**
 * Clocks as values, so that everything that waits or measures can be driven by tests.
 */

import {performance} from 'node:perf_hooks';

/** Two readings of time, both in milliseconds. */
export type Clock = {
	/** Never steps; only differences mean something. */
	now: () => number;
	/** Since the epoch; may step either way. */
	wall: () => number;
};

/** The clocks of this machine. */
export const systemClock: Clock = {
	now: () => performance.now(),
	wall: () => Date.now(),
};
