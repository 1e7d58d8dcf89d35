/**
 * Sizes of encoded log entries, by which messages are bounded in bytes as well as in number of entries.
 */

import type {LogEntry} from './log-entry.js';

/** Sizes by entry: an entry is sent to every replica and resent after a loss, but encoded for measuring only once. */
const sizeCache = new WeakMap<LogEntry, number>();

/** Returns the length of an entry as JSON, in characters. */
export const estimateEntrySize = (entry: LogEntry): number => {
	const size = sizeCache.get(entry) ?? JSON.stringify(entry).length;
	sizeCache.set(entry, size);
	return size;
};

/** Returns the longest prefix of `items` whose total size is at most `limit`. A first item above the limit is returned alone. */
export const takeUpToSize = <T>(items: readonly T[], sizeOf: (item: T) => number, limit: number): T[] => {
	let sum = 0;
	const end = items.findIndex((item, index) => {
		sum += sizeOf(item);
		return index > 0 && sum > limit;
	});
	return end === -1 ? [...items] : items.slice(0, end);
};
