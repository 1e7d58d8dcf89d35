/**
 * Requests of one entry that wait for capacity. All recheck in order of urgency when the capacity of an endpoint changes, and each one
 * when it expects capacity. A single timer schedules these rechecks.
 */

import type {Clock} from 'mastvalve-utils';

/** Added to each timer, ms: timers may fire a fraction of a millisecond early, and a permit that is claimed too early is denied. */
const timerSlackMs = 1;

type Waiter = {urgency: number; recheck: () => void; recheckAt: number};

/** Handle of a waiting request. */
export type WaiterHandle = {
	/** Schedules a recheck, monotonic ms. */
	scheduleRecheck: (at: number) => void;
	remove: () => void;
};

export class CapacityWaiters {
	private readonly waiters = new Set<Waiter>();
	private timer: NodeJS.Timeout | undefined;
	private timerAt = Number.POSITIVE_INFINITY;

	constructor(private readonly clock: Pick<Clock, 'now'>) {}

	/** Adds a waiting request; urgency 0 is the most urgent. */
	add(urgency: number, recheck: () => void): WaiterHandle {
		const waiter: Waiter = {urgency, recheck, recheckAt: Number.POSITIVE_INFINITY};
		this.waiters.add(waiter);
		return {
			scheduleRecheck: at => {
				waiter.recheckAt = at;
				this.scheduleTimer(at);
			},
			remove: () => {
				this.waiters.delete(waiter);
			},
		};
	}

	/** Rechecks all requests after the capacity of an endpoint has changed. */
	wakeAll(): void {
		this.wake(() => true);
	}

	private wake(isDue: (waiter: Waiter) => boolean): void {
		[...this.waiters].filter(waiter => isDue(waiter)).toSorted((a, b) => a.urgency - b.urgency).forEach(waiter => {
			if (this.waiters.has(waiter)) {
				waiter.recheck();
			}
		});
	}

	private scheduleTimer(at: number): void {
		if (at >= this.timerAt) {
			return;
		}

		clearTimeout(this.timer);
		this.timerAt = at;
		this.timer = setTimeout(() => {
			this.wakeDue();
		}, Math.max(0, Math.ceil(at - this.clock.now()) + timerSlackMs));
	}

	private wakeDue(): void {
		const now = this.clock.now();
		this.timerAt = Number.POSITIVE_INFINITY;
		this.wake(({recheckAt}) => recheckAt <= now);
		const next = Math.min(...[...this.waiters].map(({recheckAt}) => recheckAt));
		if (Number.isFinite(next)) {
			this.scheduleTimer(next);
		}
	}
}
