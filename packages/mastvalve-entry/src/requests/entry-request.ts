/**
 * A caller's request after it was checked.
 */

import type {Model, Priority} from 'mastvalve-types';

/** Everything that attempts need. */
export type EntryRequest = {
	requestId: string;
	service: string;
	/** Set for model services. */
	model: Model | undefined;
	priority: Priority;
	/** Monotonic ms. */
	deadlineAt: number;
	method: string;
	/** Path and query at the endpoint. */
	path: string;
	/** Headers for the endpoint. */
	headers: Record<string, string>;
	body: Uint8Array | undefined;
	/** Hashes of the prompt's prefixes. */
	prefixes: number[];
	/** Whether running it twice does no harm. */
	isRepeatable: boolean;
	/** Token of the claim, for a call that must not be repeated. */
	claim?: number;
	/** Aborts when the caller hangs up. */
	signal: AbortSignal;
};
