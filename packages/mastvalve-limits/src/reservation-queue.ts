/**
 * Reservations of requests that are pending for a permit of one limited endpoint, each with its due time, ordered by urgency and then
 * by arrival. Without reservations all pending requests would be assigned the same retry time: one would get the permit, and the others
 * would retry without success.
 */

/** Time after its due time at which an unclaimed reservation expires: messages within a region take a few ms, on a busy entry somewhat longer. */
const expiryGraceMs = 300;

/** A permit that is this late counts as on time, since times are rounded up to whole ms. */
const lateToleranceMs = 5;

type Reservation = {id: string; urgency: number; dueAt: number};

/** Reservation queue of one endpoint. Times are monotonic, ms. */
export class ReservationQueue {
	private reservations: Reservation[] = [];

	/**
	 * Returns the time of the first permit that no reservation of the same or a higher urgency needs. `findNthPermitTime` returns when the
	 * nth permit from now, counted from 0, becomes available.
	 */
	findPermitTime(urgency: number, now: number, findNthPermitTime: (index: number) => number): number {
		this.dropExpired(now);
		const ahead = this.reservations.filter(each => each.urgency <= urgency).toSorted((a, b) => a.dueAt - b.dueAt);
		// Reservations after the new request move back by one permit, which must still be on time for each of them.
		const lastUnmovable = ahead.findLastIndex(({dueAt}, index) => findNthPermitTime(index + 1) > dueAt + lateToleranceMs);
		return findNthPermitTime(lastUnmovable + 1);
	}

	/** Counts due reservations that are more urgent and take precedence over a reservation that is due now. */
	countDueMoreUrgent(urgency: number, now: number): number {
		this.dropExpired(now);
		return this.reservations.filter(each => each.urgency < urgency && each.dueAt <= now).length;
	}

	add(reservation: Reservation): void {
		this.reservations.push(reservation);
	}

	/** Removes a reservation. Returns whether it existed. */
	remove(id: string): boolean {
		const before = this.reservations.length;
		this.reservations = this.reservations.filter(each => each.id !== id);
		return this.reservations.length < before;
	}

	private dropExpired(now: number): void {
		this.reservations = this.reservations.filter(({dueAt}) => now <= dueAt + expiryGraceMs);
	}
}
