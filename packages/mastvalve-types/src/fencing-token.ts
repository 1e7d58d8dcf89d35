/**
 * Fencing tokens, which let engines reject stale orders.
 */

/** Ordered by term, then by sequence; an endpoint that checks tokens rejects any below the highest it has seen. */
export type FencingToken = {
	/** Incarnation of the endpoint's sidecar, assigned by the replicated log. */
	term: number;
	/** Order number within one sidecar process, starting at 1. */
	sequence: number;
};
