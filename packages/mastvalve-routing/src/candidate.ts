/**
 * An endpoint as routing sees it.
 */

/** Everything that a choice may rest on; plain data. */
export type Candidate = {
	endpointId: string;
	failureDomain: string;
	/** Whether it is to hold the model always; otherwise it may have to load it first. */
	isResident: boolean;
	/** Requests running and waiting there by its last report. */
	reportedLoad: number;
	/** Requests that this entry has sent there since that report, or has in progress there. */
	ownInFlight: number;
	/** Share of the prompt that its prefix cache is believed to hold, 0 to 1. */
	prefixShare: number;
	/** Whether it failed or refused lately. */
	isSuspect: boolean;
};

/** A way to choose; undefined when there are no candidates. */
export type ChooseCandidate = (candidates: readonly Candidate[], random: () => number) => Candidate | undefined;
