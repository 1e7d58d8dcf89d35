/**
 * Reports of entries on crashed endpoints, and on requests that were answered although their content is suspected.
 */

/** What requests that one entry had in flight at a crashing endpoint have in common: the content of a request, or a part of prompts. */
export type ReportedSuspect = {
	fingerprint: string;
	/** Number of these requests. */
	requests: number;
	/** Number of those whose answer had begun and had no complete event yet. */
	beginnings: number;
	/** Requests with it that the entry has recently seen answered. */
	successes: number;
};

/** One crash as observed by one entry; other entries may report the same crash with other requests. */
export type CrashReport = {
	/** Identity of the incarnation that crashed. */
	endpointId: string;
	/** Fingerprints of the requests of this entry that were in flight there; for control instances of earlier versions. */
	fingerprints: string[];
	/** Missing in reports of earlier versions. */
	suspects?: ReportedSuspect[];
};

/** Requests with a suspected content that an entry has seen answered. */
export type SuccessReport = {
	fingerprint: string;
	/** Number of the newest crash that the entry knew of when it sent the last one that was answered whole; 0 if there is none. */
	answeredNumber: number;
	/** The same for the last one whose answer went on after its beginning. */
	begunNumber: number;
	/** Requests with it that the entry has recently seen answered. */
	successes: number;
};
