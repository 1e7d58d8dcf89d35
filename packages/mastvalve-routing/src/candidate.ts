/**
 * Input and signature of endpoint selection policies.
 */

/** State of an endpoint that a selection may depend on. */
export type Candidate = {
	endpointId: string;
	failureDomain: string;
	/** Whether the model is resident there; otherwise the endpoint may have to load it first. */
	isResident: boolean;
	/** Requests running and queued at the endpoint according to its last report. */
	reportedLoad: number;
	/** Requests that this entry has sent since that report, or has in flight there. */
	ownInFlight: number;
	/** Estimated share of the prompt in the endpoint's prefix cache, 0 to 1. */
	prefixShare: number;
	/** Whether it failed or refused a request recently. */
	isSuspect: boolean;
};

/** Selection policy; returns undefined when there are no candidates. */
export type ChooseCandidate = (candidates: readonly Candidate[], random: () => number) => Candidate | undefined;
