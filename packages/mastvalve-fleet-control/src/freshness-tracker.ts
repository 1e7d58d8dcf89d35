/**
 * Tracks the time up to which a control instance is guaranteed to know everything committed: the start of its latest query
 * that the log's leader answered under its lease. A heartbeat of the leader proves nothing of the kind, since it may have been
 * in flight for long.
 */

import {ConfirmedTime} from 'mastvalve-access';
import type {ControlGroup} from 'mastvalve-cluster';
import {repeatUntilAborted, SuspensionDetector, type Clock} from 'mastvalve-utils';

export type FreshnessTrackerOptions = {
	group: Pick<ControlGroup, 'isLeading' | 'waitUntilFresh'>;
	clock: Clock;
	onError: (thrown: unknown) => void;
};

/** Interval between queries to the leader, ms: 1/20 of the shortest bound on the use of revoked keys (5 s). */
const queryIntervalMs = 250;

/** Times are monotonic, ms. */
export class FreshnessTracker {
	private readonly confirmed = new ConfirmedTime();
	private readonly suspension: SuspensionDetector;

	constructor(private readonly options: FreshnessTrackerOptions) {
		this.suspension = new SuspensionDetector(options.clock);
	}

	/** Returns the confirmed time; undefined while there is none. */
	read(): number | undefined {
		this.invalidateAfterSuspension();
		if (this.options.group.isLeading) {
			return this.options.clock.now();
		}

		return this.confirmed.latestAt === Number.NEGATIVE_INFINITY ? undefined : this.confirmed.latestAt;
	}

	/** Records a confirmed read from the leader; `queriedAt` is the start of the query. */
	recordConfirmed(queriedAt: number): void {
		this.invalidateAfterSuspension();
		this.confirmed.record(queriedAt, queriedAt);
	}

	/** Queries the leader periodically until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await repeatUntilAborted(signal, queryIntervalMs, async () => this.renew(), this.options.onError);
	}

	private async renew(): Promise<void> {
		const queriedAt = this.options.clock.now();
		const fresh = await this.options.group.waitUntilFresh();
		if (fresh.isOk()) {
			this.recordConfirmed(queriedAt);
		}
	}

	private invalidateAfterSuspension(): void {
		if (this.suspension.hasBeenSuspended()) {
			this.confirmed.invalidate(this.options.clock.now());
		}
	}
}
