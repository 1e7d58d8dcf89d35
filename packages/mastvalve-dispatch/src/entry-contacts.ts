/**
 * When entries last called the leader.
 */

/** Time without a call after which an entry is silent, ms. Entries with runs in progress call each second. */
const entrySilenceMs = 3000;

/** Times are monotonic, ms. */
export class EntryContacts {
	private readonly calledAt = new Map<string, number>();

	get size(): number {
		return this.calledAt.size;
	}

	/** Records that an entry has called. */
	record(entry: string, now: number): void {
		this.calledAt.set(entry, now);
	}

	/** Whether an entry has called since it was last forgotten. */
	has(entry: string): boolean {
		return this.calledAt.has(entry);
	}

	isSilent(entry: string, now: number): boolean {
		return now - (this.calledAt.get(entry) ?? Number.NEGATIVE_INFINITY) > entrySilenceMs;
	}

	/** Forgets entries that are silent. */
	dropSilent(now: number): void {
		[...this.calledAt.keys()].filter(entry => this.isSilent(entry, now)).forEach(entry => {
			this.calledAt.delete(entry);
		});
	}
}
