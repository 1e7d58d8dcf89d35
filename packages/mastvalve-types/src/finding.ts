/**
 * Something wrong in a file that a person wrote, with its place.
 */

/** One finding; all findings of a file are reported together. */
export type Finding = {
	file: string;
	/** Counted from 1. */
	line: number;
	/** Counted from 1. */
	column: number;
	/** Path of the key, such as `instances[2].listen`. */
	key: string;
	found: string;
	allowed: string;
};
