/**
 * Helpers for records and arrays.
 */

/** Returns a copy of the record with `key` set to `value`. */
export const putKey = <T>(record: Record<string, T>, key: string, value: T): Record<string, T> => ({...record, [key]: value});

/** Returns a copy of the record without `key`. */
export const omitKey = <T>(record: Record<string, T>, key: string): Record<string, T> =>
	Object.fromEntries(Object.entries(record).filter(([name]) => name !== key));

/** Indexes items by key. When keys collide, the last item is kept. */
export const keyBy = <T>(items: readonly T[], keyOf: (item: T) => string): Record<string, T> =>
	Object.fromEntries(items.map(item => [keyOf(item), item]));

/** Sums `valueOf` over all items. */
export const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
	items.reduce((sum, item) => sum + valueOf(item), 0);

/** Returns the item with the lowest score, the first one on a tie, or undefined for an empty array. */
export const minBy = <T>(items: readonly T[], scoreOf: (item: T) => number): T | undefined => {
	let best: T | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	items.forEach(item => {
		const score = scoreOf(item);
		if (score < bestScore) {
			best = item;
			bestScore = score;
		}
	});
	return best;
};

/** Compares two strings by UTF-16 code units, so that the sort order does not depend on the locale of the machine. */
export const compareText = (a: string, b: string): number => (a < b ? -1 : (a > b ? 1 : 0));

/** Returns the first result of `map` that is not undefined. Does not call `map` for the remaining items. */
export const findMapped = <T, R>(items: readonly T[], map: (item: T) => R | undefined): R | undefined => {
	let found: R | undefined;
	items.some(item => {
		found = map(item);
		return found !== undefined;
	});
	return found;
};
