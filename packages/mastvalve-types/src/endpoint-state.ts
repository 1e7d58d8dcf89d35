/**
 * Lifecycle states of an endpoint.
 */

/** Changes only from a state to a later one; a new incarnation starts at `Live`. */
export enum EndpointState {
	/** Accepts new requests. */
	Live = 'live',
	/** Drains: completes requests in flight and accepts no new ones. */
	Leaving = 'leaving',
	/** No longer part of the cluster. */
	Gone = 'gone',
}
