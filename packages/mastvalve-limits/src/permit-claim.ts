/**
 * What entries and the leader tell each other of endpoints that have named a limit.
 */

import type {LimitHeader} from './limit-header.js';

/** An entry asks for a permit to hand a request to one of several limited endpoints. */
export type PermitClaim = {
	/** Identities of the endpoints' incarnations, the preferred first. */
	endpoints: string[];
	/** 0 is the most urgent. */
	urgency: number;
	/** How long the request would wait for a permit, ms; 0 for one that goes elsewhere. If its turn comes in that time, it gets a reservation. */
	maxWaitMs: number;
	/** The reservation that it holds; this claim takes its place. */
	reservation: string | undefined;
};

/** The answer to a claim. A request holds one permit, or one reservation, or nothing. */
export type PermitResult = {
	/** Where it got a permit. */
	endpoint: string | undefined;
	/** Time until its turn, or until the first permit if it got no reservation, ms; 0 with a permit. */
	waitMs: number;
	reservation: string | undefined;
};

/** A moment in the account of one leader. Moments of different terms can't be compared. */
export type LimitTimestamp = {term: number; number: number};

/** The word of one answer. */
export type LimitReport = {
	endpoint: string;
	word: LimitHeader;
	/** When the request that it answers was let through; undefined for one that nobody was asked about. */
	grantedAt: LimitTimestamp | undefined;
};

/** The limit of an endpoint; undefined for one that takes as many as its slots allow. */
export type EndpointLimit = {endpoint: string; perSecond: number | undefined};
