/**
 * An event on the time line.
 */

/** A reading of the hybrid logical clock. */
export type ClockReading = {
	/** Wall clock in ms since the epoch; never goes back. */
	wall: number;
	/** Orders readings of one ms. */
	counter: number;
};

/** One thing that happened in one process. */
export type TimelineEvent = {
	clock: ClockReading;
	instance: string;
	failureDomain: string;
	/** What happened, `noun.verb`, such as `request.dispatched`. */
	kind: string;
	/** The request that it belongs to, if any. */
	requestId?: string;
	/** Plain words for people. */
	detail: string;
};
