/**
 * Messages between entries and the leader about endpoints that have announced a rate limit.
 */

import type {LimitHeader} from './limit-header.js';

/** Claim of an entry for a permit to dispatch a request to one of several limited endpoints. */
export type PermitClaim = {
	/** Ids of the endpoints' incarnations in order of preference. */
	endpoints: string[];
	/** 0 is the most urgent. */
	urgency: number;
	/** Longest time that the request waits for a permit, ms; 0 if it is dispatched elsewhere instead. A reservation is made if a permit is due within this time. */
	maxWaitMs: number;
	/** Reservation that the request holds; this claim replaces it. */
	reservation: string | undefined;
};

/** Result of a claim: one permit, one reservation or neither. */
export type PermitResult = {
	/** Endpoint of the permit. */
	endpoint: string | undefined;
	/** Time until the reservation is due, or until the first permit if there is no reservation, ms; 0 with a permit. */
	waitMs: number;
	reservation: string | undefined;
};

/** Logical timestamp in the limits of one leader. Timestamps of different terms can't be compared. */
export type LimitTimestamp = {term: number; number: number};

/** Limit header of one response. */
export type LimitReport = {
	endpoint: string;
	word: LimitHeader;
	/** When the permit of the answered request was granted; undefined for a request without a permit. */
	grantedAt: LimitTimestamp | undefined;
};

/** Limit of an endpoint in requests per second; undefined if only its slots limit it. */
export type EndpointLimit = {endpoint: string; perSecond: number | undefined};
