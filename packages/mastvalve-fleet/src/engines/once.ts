/**
 * Values that are computed when they are first asked for.
 */

/** Returns a function that computes its value once. */
export const once = <T>(compute: () => T): (() => T) => {
	let known: {value: T} | undefined;
	return () => {
		known ??= {value: compute()};
		return known.value;
	};
};
