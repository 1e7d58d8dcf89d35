/**
 * What entries and the leader tell each other of endpoints that have named a limit.
 */

import type {LimitWord} from './limit-word.js';

/** An entry wants to hand a request to such an endpoint. */
export type HandoverClaim = {
	/** Identity of the endpoint's incarnation. */
	endpoint: string;
	/** 0 is the most urgent. */
	urgency: number;
	/** How long the request would wait for room, ms; 0 for one that goes elsewhere. It stands in the line if there is room in that time. */
	patienceMs: number;
	/** It has stood in the line until its moment. */
	isDue: boolean;
};

/** A moment in the account of one leader. Moments of different terms can't be compared. */
export type AccountMoment = {term: number; number: number};

/** The word of one answer. */
export type ToldWord = {
	endpoint: string;
	word: LimitWord;
	/** When the request that it answers was let through; undefined for one that nobody was asked about. */
	grantedAt: AccountMoment | undefined;
};

/** The limit of an endpoint; undefined for one that takes as many as its slots allow. */
export type EndpointLimit = {endpoint: string; perSecond: number | undefined};
