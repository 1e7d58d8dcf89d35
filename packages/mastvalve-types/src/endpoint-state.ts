/**
 * Membership states of an endpoint.
 */

/** Goes forward only; a new incarnation begins anew at `Live`. */
export enum EndpointState {
	/** Takes new work. */
	Live = 'live',
	/** Finishes what it has and takes nothing new. */
	Leaving = 'leaving',
	/** No longer there. */
	Gone = 'gone',
}
