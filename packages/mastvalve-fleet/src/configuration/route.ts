/**
 * A route: which requests go to which services, and under which bounds.
 */

/** What may be done with a request when its answer is lost. */
export enum RouteKind {
	/** Events, one after another; repeated only when resumable. */
	Stream = 'stream',
	/** Running it twice does no harm. */
	Safe = 'safe',
	/** It runs at most once. */
	Unsafe = 'unsafe',
}

/** A service that gets a share of a route's requests. */
export type RouteTarget = {service: string; weight: number};

/** One route; of a host's routes the longest prefix wins. */
export type Route = {
	name: string;
	host: string;
	/** Starts and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	/** Longest time for which a request may be held, ms. */
	timeoutMs: number;
	/** Latency objective: the first byte (a stream's first event) in this time, ms. */
	objectiveMs: number;
	/** A caller of a stream gives up when no event comes for this long, ms; undefined when only its deadline counts. */
	patienceMs: number | undefined;
	/** 0 is the most urgent. */
	priority: number;
	targets: RouteTarget[];
	/** Endpoints that one request may be sent to at the most. */
	maxAttempts: number;
	/** Whether a broken stream may go on at another endpoint. */
	isResumable: boolean;
	/** Whether anybody may ask, also without a key. */
	isAnonymous: boolean;
};
