/**
 * What mastvalve can truthfully say about a request that it was given.
 */

/** The three outcomes; `Unknown` is said whenever something was handed to the endpoint and no final answer came back. */
export enum Outcome {
	/** The endpoint gave its whole answer. */
	Done = 'done',
	/** Nothing was handed to any endpoint: the caller may safely ask again. */
	NotRun = 'not-run',
	/** It was handed to an endpoint, and whether it ran can't be told. */
	Unknown = 'unknown',
}
