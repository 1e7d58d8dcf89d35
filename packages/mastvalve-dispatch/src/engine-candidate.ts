/**
 * An engine that holds the model of a request, as the leader's record describes it.
 */

export type EngineCandidate = {
	/** Id of the incarnation. */
	id: string;
	/** Whether its heartbeats are overdue. */
	isSilent: boolean;
	/** Maximum number of requests in its batch. */
	slots: number;
	/** Capacity shared by running requests and cached prompts, tokens. */
	tokenCapacity: number;
	/** Failure domain that it is in, if that is known. */
	failureDomain?: string;
	/** Time to copy one token of a kept prompt to or from another engine, ms; undefined if it can't copy. */
	copyMsPerToken?: number;
};
