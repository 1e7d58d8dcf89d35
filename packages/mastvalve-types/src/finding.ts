/**
 * Validation findings for hand-written files, with their source positions.
 */

/** One invalid entry; all findings of a file are reported together. */
export type Finding = {
	file: string;
	/** 1-based. */
	line: number;
	/** 1-based. */
	column: number;
	/** Path of the key, such as `instances[2].listen`. */
	key: string;
	found: string;
	allowed: string;
};
