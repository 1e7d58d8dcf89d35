/**
 * Requests of one entry that wait for capacity. They look again in order of their urgency when an endpoint takes more or fewer requests
 * than before, and each at the time that it expects capacity; one timer serves them all.
 */

import type {Clock} from 'mastvalve-utils';

/** Timers may come a part of a millisecond before their time; a request that asks for its turn too early would get none, ms. */
const timerSlackMs = 1;

type Waiter = {urgency: number; recheck: () => void; recheckAt: number};

/** A request that waits. */
export type WaiterHandle = {
	/** Looks again at a moment, monotonic ms. */
	scheduleRecheck: (at: number) => void;
	/** Waits no more. */
	remove: () => void;
};

/** The waiting requests. */
export class CapacityWaiters {
	private readonly waiters = new Set<Waiter>();
	private timer: NodeJS.Timeout | undefined;
	private timerAt = Number.POSITIVE_INFINITY;

	constructor(private readonly clock: Pick<Clock, 'now'>) {}

	/** A request begins to wait; 0 is the most urgent. */
	add(urgency: number, recheck: () => void): WaiterHandle {
		const waiter: Waiter = {urgency, recheck: recheck, recheckAt: Number.POSITIVE_INFINITY};
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

	/** An endpoint takes more or fewer requests than before. */
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
		this.wake(({recheckAt: lookAt}) => lookAt <= now);
		const next = Math.min(...[...this.waiters].map(({recheckAt: lookAt}) => lookAt));
		if (Number.isFinite(next)) {
			this.scheduleTimer(next);
		}
	}
}
