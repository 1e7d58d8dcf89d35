/**
 * What an entry tells of an endpoint that has crashed.
 */

/** One crash, as far as one entry saw it; other entries may report more of the same. */
export type CrashReport = {
	/** Identity of the endpoint's incarnation that ended. */
	endpointId: string;
	/** Fingerprints of the requests that this entry had there when it ended. */
	fingerprints: string[];
};
