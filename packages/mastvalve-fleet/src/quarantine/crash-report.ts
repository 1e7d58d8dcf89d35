/**
 * Reports of entries on crashed endpoints.
 */

/** One crash as observed by one entry; other entries may report the same crash with other requests. */
export type CrashReport = {
	/** Identity of the incarnation that crashed. */
	endpointId: string;
	/** Fingerprints of the requests of this entry that were in flight there. */
	fingerprints: string[];
};
