/**
 * Feed of changes to keyed items in revision order, read in pages of bounded size.
 *
 * A reader's cursor names the last change that it read. It resumes from there after any further changes, also at another
 * replica of the feed, so nothing is sent twice because of a large state, a slow link or a lost source. The feed keeps only
 * the newest change of each key.
 */

/** A position in the feed; changes of one revision are ordered by key. */
export type FeedPosition = {revision: number; key: string};

/** A reader's position: it has read all changes up to and including this one. */
export type FeedCursor = FeedPosition & {
	/** Newest revision when the reader started; the reader holds nothing that was superseded before. */
	begunAt: number;
};

/** One page of changes. */
export type FeedPage<T> = {
	/** Whether the reader must discard its state, since changes that it missed are no longer kept. */
	isWhole: boolean;
	changes: T[];
	/** The reader's position after this page. */
	cursor: FeedCursor;
	/** Whether no change follows at this moment. */
	isLast: boolean;
};

type Entry<T> = {key: string; revision: number; change: T; bytes: number};

/**
 * Size of a page, in estimated bytes of JSON. At 7 Mbit/s, the slowest observed link, a page takes 75 ms uncompressed, so a
 * change that stops traffic to an endpoint is never delayed for long by a large configuration.
 */
export const maxPageBytes = 65_536;
/** Superseded changes are removed once they exceed the kept changes by this number. */
const minSuperseded = 64;

const compare = (a: FeedPosition, b: FeedPosition): number => {
	if (a.revision !== b.revision) {
		return a.revision - b.revision;
	}

	if (a.key === b.key) {
		return 0;
	}

	return a.key < b.key ? -1 : 1;
};

const start: FeedPosition = {revision: -1, key: ''};

export class ChangeFeed<T> {
	private readonly latest = new Map<string, Entry<T>>();
	/** Ordered by revision, then key; includes superseded changes. */
	private ordered: Array<Entry<T>> = [];
	/** `estimateBytes` estimates the size of a change as JSON; readers before `forgotten` may hold forgotten keys. */
	constructor(private readonly estimateBytes: (change: T) => number, private forgotten: FeedPosition = start) {}

	/** The newest position of all forgotten changes. */
	get forgottenUpTo(): FeedPosition {
		return this.forgotten;
	}

	get size(): number {
		return this.latest.size;
	}

	/** Records the newest change of a key. Revisions never decrease, and all changes of a revision are recorded before the next read. */
	put(key: string, change: T, revision: number): void {
		const entry = {
			key, revision, change, bytes: this.estimateBytes(change),
		};
		this.latest.set(key, entry);
		const insertAt = this.ordered.findLastIndex(other => compare(other, entry) < 0) + 1;
		this.ordered.splice(insertAt, 0, entry);
		if (this.ordered.length > (2 * this.latest.size) + minSuperseded) {
			this.ordered = this.ordered.filter(each => this.isLatest(each));
		}
	}

	/** Forgets a key. A reader that started before its newest change and has not read it must start over. */
	forget(key: string): void {
		const entry = this.latest.get(key);
		if (entry) {
			this.latest.delete(key);
			this.forgotten = compare(entry, this.forgotten) > 0 ? {revision: entry.revision, key} : this.forgotten;
		}
	}

	/** Whether changes follow a cursor. */
	hasMore(cursor: FeedPosition | undefined): boolean {
		const last = this.ordered.findLast(entry => this.isLatest(entry));
		return last !== undefined && compare(cursor ?? start, last) < 0;
	}

	/** Returns the newest change of each key, the oldest first. */
	list(): Array<{key: string; revision: number; change: T}> {
		return this.ordered.filter(entry => this.isLatest(entry));
	}

	/** Returns the page after a cursor; the first page without one. */
	readAfter(cursor: FeedCursor | undefined): FeedPage<T> {
		const isWhole = cursor === undefined || this.mayHoldForgotten(cursor);
		const from: FeedCursor = isWhole ? {...start, begunAt: this.newestRevision} : cursor;
		const entries = this.collectAfter(from);
		const last = entries.at(-1);
		const next = last ? {revision: last.revision, key: last.key, begunAt: from.begunAt} : from;
		return {
			isWhole, changes: entries.map(({change}) => change), cursor: next, isLast: !this.hasMore(next),
		};
	}

	private get newestRevision(): number {
		return this.ordered.at(-1)?.revision ?? start.revision;
	}

	/** Returns the newest changes after a position, as many as a page holds, and at least one if any follows. */
	private collectAfter(from: FeedPosition): Array<Entry<T>> {
		const entries: Array<Entry<T>> = [];
		let bytes = 0;
		let at = this.findAfter(from);
		while (at < this.ordered.length && bytes < maxPageBytes) {
			const entry = this.ordered[at]!;
			at += 1;
			if (this.isLatest(entry)) {
				entries.push(entry);
				bytes += entry.bytes;
			}
		}

		return entries;
	}

	private mayHoldForgotten(cursor: FeedCursor): boolean {
		return cursor.begunAt < this.forgotten.revision && compare(cursor, this.forgotten) < 0;
	}

	private isLatest(entry: Entry<T>): boolean {
		return this.latest.get(entry.key) === entry;
	}

	/** Returns the index of the first entry after a position, by binary search. */
	private findAfter(cursor: FeedPosition): number {
		let low = 0;
		let high = this.ordered.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compare(this.ordered[middle]!, cursor) <= 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
