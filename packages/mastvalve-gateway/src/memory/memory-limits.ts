/**
 * Bounds on the memory that an entry uses for requests and answers, in bytes. The smallest entries have 210 MB, of which the process
 * itself takes up to 110 MB.
 */
export type MemoryLimits = {
	/** Sum of the answers that their callers do not read at the moment. */
	maxUnreadBytes: number;
	/** Sum of the request bodies whose requests have not ended. */
	maxHeldBodyBytes: number;
};

export const defaultMemoryLimits: MemoryLimits = {
	maxUnreadBytes: 25_165_824,
	maxHeldBodyBytes: 50_331_648,
};
