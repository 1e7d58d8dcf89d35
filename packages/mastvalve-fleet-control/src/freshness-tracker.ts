/**
 * Up to which moment a control instance is sure to know all that was committed: the latest one at which it asked the log's
 * leader, and the leader answered by its lease. A heartbeat of the leader proves no such moment, since it may have been on its
 * way for long.
 */

import {ConfirmedTime} from 'mastvalve-access';
import type {ControlGroup} from 'mastvalve-cluster';
import {repeatUntilAborted, SuspensionWatch, type Clock} from 'mastvalve-utils';

/** What it is made from. */
export type FreshnessTrackerOptions = {
	group: Pick<ControlGroup, 'isLeading' | 'readFresh'>;
	clock: Clock;
	onError: (thrown: unknown) => void;
};

/** Pause between two questions to the leader, ms: a twentieth of the shortest bound on keys that were taken away (5 s). */
const askPauseMs = 250;

/** The moment. Times are monotonic, ms. */
export class FreshnessTracker {
	private readonly proven = new ConfirmedTime();
	private readonly suspension: SuspensionWatch;

	constructor(private readonly options: FreshnessTrackerOptions) {
		this.suspension = new SuspensionWatch(options.clock);
	}

	/** The moment; undefined while there is none. */
	read(): number | undefined {
		this.endIfSuspended();
		if (this.options.group.isLeading) {
			return this.options.clock.now();
		}

		return this.proven.latestAt === Number.NEGATIVE_INFINITY ? undefined : this.proven.latestAt;
	}

	/** All that was committed up to a moment was read from the leader, in a question that began then. */
	recordConfirmed(askedAt: number): void {
		this.endIfSuspended();
		this.proven.record(askedAt, askedAt);
	}

	/** Asks the leader again and again until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await repeatUntilAborted(signal, askPauseMs, async () => this.renew(), this.options.onError);
	}

	private async renew(): Promise<void> {
		const askedAt = this.options.clock.now();
		const fresh = await this.options.group.readFresh();
		if (fresh.isOk()) {
			this.recordConfirmed(askedAt);
		}
	}

	private endIfSuspended(): void {
		if (this.suspension.hasJumped()) {
			this.proven.invalidate(this.options.clock.now());
		}
	}
}
