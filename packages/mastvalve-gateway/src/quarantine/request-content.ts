/**
 * The content of requests by which crashes are traced to their cause, and the number of requests that share it.
 */

/** What a request may be quarantined for. */
export type QuarantinedContent = {
	fingerprint: string;
	partFingerprints: readonly string[];
};

/** Number of requests, and of those whose answer had begun and had no complete event yet. */
export type InFlightCount = {requests: number; beginnings: number};
