/**
 * The number pair that orders carry, so that late ones are known.
 */

/** Compared by term first; an endpoint that checks refuses any that is lower than the highest it has seen. */
export type FencingToken = {
	/** Incarnation of the endpoint's sidecar, given by the replicated log. */
	term: number;
	/** Counts the orders of one sidecar process from 1. */
	sequence: number;
};
