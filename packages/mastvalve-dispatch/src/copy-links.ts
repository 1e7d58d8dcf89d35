/**
 * Tracks until when the network links of engines are occupied by copies. A copy occupies the links of both of its engines, and the copies
 * on a link are made one after another. A copy whose run is cancelled still counts, since the engine may have begun it.
 */

/** Times are monotonic, ms. */
export class CopyLinks {
	private readonly freeAt = new Map<string, number>();

	/** Returns the time until the link of an engine is free, ms. */
	waitMs(engine: string, now: number): number {
		return Math.max(0, (this.freeAt.get(engine) ?? now) - now);
	}

	/** Records that the links of these engines are occupied for some time. */
	occupy(engines: readonly string[], untilMs: number): void {
		engines.forEach(engine => {
			this.freeAt.set(engine, untilMs);
		});
	}

	/** Forgets an engine that is gone. */
	dropEngine(engine: string): void {
		this.freeAt.delete(engine);
	}
}
