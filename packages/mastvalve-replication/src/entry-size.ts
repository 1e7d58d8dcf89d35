/**
 * How large entries are when they travel, so that what is sent at once is bounded in bytes and not only by number.
 */

import type {LogEntry} from './log-entry.js';

/** Sizes are worked out once an entry: it goes to each replica, and again after a loss. */
const known = new WeakMap<LogEntry, number>();

/** Length of an entry as JSON, characters. */
export const estimateEntrySize = (entry: LogEntry): number => {
	const size = known.get(entry) ?? JSON.stringify(entry).length;
	known.set(entry, size);
	return size;
};

/** The first items whose sizes sum up to at most `limit`; at least one, when there is any. */
export const takeUpToSize = <T>(items: readonly T[], sizeOf: (item: T) => number, limit: number): T[] => {
	let sum = 0;
	const end = items.findIndex((item, index) => {
		sum += sizeOf(item);
		return index > 0 && sum > limit;
	});
	return end === -1 ? [...items] : items.slice(0, end);
};
