/**
 * Measures how long things have been in some state. Like the times of heartbeats, this is not in the log: a new leader measures anew.
 */

export class ElapsedTimes {
	private readonly since = new Map<string, number>();

	/** `getDurationMs` returns the time after which a key is listed. */
	constructor(private readonly getDurationMs: (key: string) => number) {}

	/** Begins to measure anew. */
	reset(): void {
		this.since.clear();
	}

	/** Lists those of the present keys that have been present for longer than the duration; `now` is monotonic, ms. */
	listElapsed(present: readonly string[], now: number): string[] {
		const known = new Set(present);
		[...this.since.keys()].filter(key => !known.has(key)).forEach(key => {
			this.since.delete(key);
		});
		return present.filter(key => {
			const since = this.since.get(key) ?? now;
			this.since.set(key, since);
			return now - since > this.getDurationMs(key);
		});
	}
}
