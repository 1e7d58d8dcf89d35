/**
 * Changes of keyed things in the order in which they were made, handed out in parts of bounded size.
 *
 * A reader's place is the change that it read last, so it goes on from there whatever has changed meanwhile, also at
 * another copy of the feed: nothing is sent twice because the state is large, a link slow or a source lost. Of each key only the
 * newest change is kept.
 */

/** A place among the changes; those of one revision are ordered by key. */
export type FeedPosition = {revision: number; key: string};

/** A reader's place: behind all changes up to this one. */
export type FeedCursor = FeedPosition & {
	/** Newest revision at the moment at which the reader began; it holds nothing that was superseded before. */
	begunAt: number;
};

/** What a reader gets at once. */
export type FeedPage<T> = {
	/** Set when the reader must forget all that it has: what it missed is not kept any more. */
	isWhole: boolean;
	changes: T[];
	/** The reader's place behind this part. */
	cursor: FeedCursor;
	/** Whether nothing follows at this moment. */
	isLast: boolean;
};

type Entry<T> = {key: string; revision: number; change: T; bytes: number};

/**
 * Size of a part, in bytes of JSON as estimated. At 7 Mbit/s, the slowest links met, it takes 75 ms unpacked, so a change
 * that stops traffic to an endpoint never waits for long behind a large configuration.
 */
export const maxPageBytes = 65_536;
/** Superseded changes are swept out once there are this many beside as many as are kept. */
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

/** The feed. */
export class ChangeFeed<T> {
	private readonly latest = new Map<string, Entry<T>>();
	/** By revision, then key; with superseded ones. */
	private ordered: Array<Entry<T>> = [];
	/** `estimateBytes` tells about how long a change is as JSON; readers before `forgotten` may hold what was forgotten. */
	constructor(private readonly estimateBytes: (change: T) => number, private forgotten: FeedPosition = start) {}

	/** The newest place of all that was forgotten. */
	get forgottenUpTo(): FeedPosition {
		return this.forgotten;
	}

	get size(): number {
		return this.latest.size;
	}

	/** Notes the newest change of a key. Revisions never fall, and all changes of one are made before anybody reads. */
	put(key: string, change: T, revision: number): void {
		const entry = {
			key, revision, change, bytes: this.estimateBytes(change),
		};
		this.latest.set(key, entry);
		const place = this.ordered.findLastIndex(other => compare(other, entry) < 0) + 1;
		this.ordered.splice(place, 0, entry);
		if (this.ordered.length > (2 * this.latest.size) + minSuperseded) {
			this.ordered = this.ordered.filter(each => this.isLatest(each));
		}
	}

	/** Forgets a key. Readers that have not read its newest change must begin anew. */
	forget(key: string): void {
		const entry = this.latest.get(key);
		if (entry) {
			this.latest.delete(key);
			this.forgotten = compare(entry, this.forgotten) > 0 ? {revision: entry.revision, key} : this.forgotten;
		}
	}

	/** Whether something follows a reader's place. */
	hasMore(cursor: FeedPosition | undefined): boolean {
		const last = this.ordered.findLast(entry => this.isLatest(entry));
		return last !== undefined && compare(cursor ?? start, last) < 0;
	}

	/** All newest changes, the oldest first. */
	list(): Array<{key: string; revision: number; change: T}> {
		return this.ordered.filter(entry => this.isLatest(entry));
	}

	/** The part that follows a reader's place; without a place, the first one. */
	readAfter(cursor: FeedCursor | undefined): FeedPage<T> {
		const isWhole = cursor === undefined || this.mayHoldForgotten(cursor);
		const from: FeedCursor = isWhole ? {...start, begunAt: this.newestRevision} : cursor;
		const entries = this.collectAfter(from);
		const last = entries.at(-1);
		const place = last ? {revision: last.revision, key: last.key, begunAt: from.begunAt} : from;
		return {
			isWhole, changes: entries.map(({change}) => change), cursor: place, isLast: !this.hasMore(place),
		};
	}

	private get newestRevision(): number {
		return this.ordered.at(-1)?.revision ?? start.revision;
	}

	/** Newest changes behind a place, as many as a part holds; one at the least. */
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

	/** Index of the first entry behind a place, by bisection. */
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
