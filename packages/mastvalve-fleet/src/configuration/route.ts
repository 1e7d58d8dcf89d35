/**
 * Routes: which requests go to which services, and under which limits.
 */

/** Decides whether a request may be repeated when its answer is lost. */
export enum RouteKind {
	/** The answer is a stream of events; repeated only when resumable. */
	Stream = 'stream',
	/** The request may run more than once. */
	Safe = 'safe',
	/** The request runs at most once. */
	Unsafe = 'unsafe',
}

/** A service that gets a share of a route's requests, in proportion to its weight. */
export type RouteTarget = {service: string; weight: number};

export type Route = {
	name: string;
	host: string;
	/** Starts and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	/** Longest time for which a request may be held, ms. */
	timeoutMs: number;
	/** Latency objective for the first byte, or the first event of a stream, ms. */
	objectiveMs: number;
	/** Time without an event after which the caller of a stream gives up, ms; undefined when only the deadline counts. */
	patienceMs: number | undefined;
	/** Longest pause between two events of a stream in time, ms; undefined if none is stated, and in configurations stored by earlier versions. */
	maxPauseMs?: number;
	/** 0 is the most urgent. */
	priority: number;
	targets: RouteTarget[];
	/** Maximum number of endpoints to which one request may be sent. */
	maxAttempts: number;
	/** Whether an interrupted stream may resume at another endpoint. */
	isResumable: boolean;
	/** Whether requests without a key are accepted. */
	isAnonymous: boolean;
};
