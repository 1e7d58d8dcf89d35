/**
 * A map of bounded size that evicts the least recently written entry.
 */

/** Holds at most `maxSize` entries. Reads do not affect the eviction order. */
export class BoundedMap<K, V> {
	private readonly entries = new Map<K, V>();

	constructor(private readonly maxSize: number) {}

	get size(): number {
		return this.entries.size;
	}

	get(key: K): V | undefined {
		return this.entries.get(key);
	}

	/** Sets an entry and marks it as the most recently written. Returns the evicted key, if any. */
	set(key: K, value: V): K | undefined {
		this.entries.delete(key);
		this.entries.set(key, value);
		if (this.entries.size <= this.maxSize) {
			return undefined;
		}

		const [oldest] = this.entries.keys();
		this.entries.delete(oldest!);
		return oldest;
	}

	delete(key: K): boolean {
		return this.entries.delete(key);
	}

	/** Returns the entries, least recently written first. */
	list(): Array<[K, V]> {
		return [...this.entries];
	}
}
