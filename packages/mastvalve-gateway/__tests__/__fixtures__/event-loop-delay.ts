/**
 * Measures by how much the event loop of the test process was delayed while something ran: by a busy machine, or by other work in it.
 * A wait that the product itself adds leaves the loop free, and is no delay of it.
 */

import {systemClock} from 'mastvalve-utils';

const tickMs = 1;

/** Runs something; returns its result with the longest single delay, ms. */
export const withEventLoopDelay = async <T>(run: () => Promise<T>): Promise<{result: T; delayMs: number}> => {
	let tickedAt = systemClock.now();
	let delayMs = 0;
	const tick = (): void => {
		const now = systemClock.now();
		delayMs = Math.max(delayMs, now - tickedAt - tickMs);
		tickedAt = now;
	};

	const timer = setInterval(tick, tickMs);
	const result = await run();
	tick();
	clearInterval(timer);
	return {result, delayMs};
};
