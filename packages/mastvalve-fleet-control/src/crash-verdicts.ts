/**
 * Decides when the record that an endpoint has crashed is refuted. The evidence for it is one refused connection, which a partition brings about
 * as well; an endpoint that has crashed sends no heartbeats any more.
 *
 * A heartbeat may arrive late, also after the crash of its sender. So one refutes the record only if it arrives when all that were sent before
 * the last refused connection have arrived. Kept by the leader in memory; a new leader counts from its beginning.
 */

/** Longest time that a heartbeat takes to arrive, ms. They are occasionally late by seconds. */
export const maxHeartbeatDelayMs = 5000;

export class CrashVerdicts {
	/** When entries last reported that nobody listens at the address of an endpoint, monotonic ms. */
	private readonly reportedAt = new Map<string, number>();
	private readonly refuted = new Set<string>();

	/** Records reports that endpoints have crashed. */
	recordReports(ids: readonly string[], now: number): void {
		ids.forEach(id => {
			this.reportedAt.set(id, now);
			this.refuted.delete(id);
		});
	}

	/** Records heartbeats of endpoints. */
	recordHeartbeats(ids: readonly string[], now: number): void {
		ids
			.filter(id => now - (this.reportedAt.get(id) ?? now) > maxHeartbeatDelayMs)
			.forEach(id => {
				this.refuted.add(id);
			});
	}

	/** Lists those of the endpoints recorded as crashed that have been heard since, and forgets all others. */
	listRefuted(crashed: readonly string[], now: number): string[] {
		const known = new Set(crashed);
		[...this.reportedAt.keys()].filter(id => !known.has(id)).forEach(id => {
			this.reportedAt.delete(id);
			this.refuted.delete(id);
		});
		this.recordReports(crashed.filter(id => !this.reportedAt.has(id)), now);
		return crashed.filter(id => this.refuted.has(id));
	}

	/** Forgets what was heard as a former leader. */
	reset(): void {
		this.reportedAt.clear();
		this.refuted.clear();
	}
}
