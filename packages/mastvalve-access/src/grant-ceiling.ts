/**
 * Recorded ceiling of the grants of one workspace: the replicated log holds how much the leader may have granted in its window, so that
 * the next leader doesn't depend on the reports of entries, which may be unreachable.
 */

/** Size of a raise, as a share of the capacity of the window. */
const stepRatio = 0.05;
/** The ceiling is raised once less than this many steps are left. */
const raiseBelowSteps = 0.5;
/** The ceiling is lowered at once when more than this many steps are unused. */
const lowerAboveSteps = 4;
/** The ceiling is lowered for less once it has been unchanged for a time: usage varies, and each change costs a log entry. */
const lowerSettledAboveSteps = 1.5;
const settledAfterMs = 30_000;
/** A ceiling without usage is removed after it has been unchanged for this long, ms. */
const removeUnusedAfterMs = 60_000;

export type CeilingInput = {
	/** What may be granted now: the recorded amount and the overdraft. */
	ceiling: number;
	/** What counts as granted in the window. */
	used: number;
	/** Sum of the claims that wait for a higher ceiling. */
	waiting: number;
	/** The largest of them. */
	largestWaiting: number;
	/** What the window allows. */
	capacity: number;
	/** Time since the ceiling was last chosen, ms. */
	unchangedMs: number;
	mayLower: boolean;
};

/** Returns the ceiling to record; undefined if the present one is kept. */
export const chooseCeiling = ({ceiling, used, waiting, largestWaiting, capacity, unchangedMs, mayLower}: CeilingInput): number | undefined => {
	const step = stepRatio * capacity;
	const needed = used + waiting;
	// Only a request larger than the capacity of a window makes the sum exceed it.
	const target = Math.min(needed + step, Math.max(capacity, used + largestWaiting));
	if (needed > ceiling - (raiseBelowSteps * step) && target > ceiling) {
		return target;
	}

	const unused = ceiling - needed;
	const isTooHigh = unused > lowerAboveSteps * step || (unused > lowerSettledAboveSteps * step && unchangedMs >= settledAfterMs);
	if (mayLower && isTooHigh) {
		return needed + step;
	}

	return mayLower && needed === 0 && ceiling > 0 && unchangedMs >= removeUnusedAfterMs ? 0 : undefined;
};
