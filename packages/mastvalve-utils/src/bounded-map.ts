/**
 * A map that holds the entries set last, up to a number: the one set longest ago gives way.
 */

/** The map. */
export class BoundedMap<K, V> {
	private readonly entries = new Map<K, V>();

	constructor(private readonly maxSize: number) {}

	get size(): number {
		return this.entries.size;
	}

	get(key: K): V | undefined {
		return this.entries.get(key);
	}

	/** Sets an entry, which becomes the newest. The result is the key that gave way. */
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

	/** The entries, the one set longest ago first. */
	list(): Array<[K, V]> {
		return [...this.entries];
	}
}
