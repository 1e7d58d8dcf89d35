/**
 * Outcomes reported for a request.
 */

/** Execution outcome of a request; `Unknown` is reported whenever it was sent to an endpoint and no final response was received. */
export enum Outcome {
	/** The endpoint returned a complete response. */
	Done = 'done',
	/** No endpoint ran the request: it was not sent, or it was rejected before execution. The caller can retry safely. */
	NotRun = 'not-run',
	/** The request was sent to an endpoint and may have run. */
	Unknown = 'unknown',
}
