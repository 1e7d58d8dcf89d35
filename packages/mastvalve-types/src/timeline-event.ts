/**
 * Events recorded on the timeline.
 */

/** A timestamp of the hybrid logical clock. */
export type ClockReading = {
	/** Wall-clock time in ms since the epoch; never decreases. */
	wall: number;
	/** Orders timestamps within the same millisecond. */
	counter: number;
};

/** An event recorded by one process. */
export type TimelineEvent = {
	clock: ClockReading;
	instance: string;
	failureDomain: string;
	/** Event name in the form `noun.verb`, such as `request.dispatched`. */
	kind: string;
	/** ID of the related request, if any. */
	requestId?: string;
	/** Human-readable description. */
	detail: string;
};
