/**
 * Requests that wait for a permit of one limited endpoint, each with the time of its turn: the more urgent first, and in order of
 * arrival among equals. Without reservations all would be told the same time; one of them would get a permit, and the others would ask
 * in vain again and again.
 */

/** A reservation whose request doesn't come back within this time of its turn has lapsed, ms: messages within a region take a few ms, a busy entry some more. */
const expiryGraceMs = 300;

/** Times are rounded up to whole ms, and a permit that comes this late counts as in time, ms. */
const lateToleranceMs = 5;

type Reservation = {id: string; urgency: number; dueAt: number};

/** The queue of one endpoint. Times are monotonic, ms. */
export class ReservationQueue {
	private reservations: Reservation[] = [];

	/**
	 * When a newcomer's turn comes: with the first permit that no reservation of the same or a higher urgency needs. `permitTimeOf` tells when
	 * the nth permit from now is there, counted from 0.
	 */
	findPermitTime(urgency: number, now: number, findNthPermitTime: (index: number) => number): number {
		this.dropExpired(now);
		const ahead = this.reservations.filter(each => each.urgency <= urgency).toSorted((a, b) => a.dueAt - b.dueAt);
		// From here on all that are behind the newcomer get one permit later than before, which must still be there in time.
		const lastUnmovable = ahead.findLastIndex(({dueAt}, index) => findNthPermitTime(index + 1) > dueAt + lateToleranceMs);
		return findNthPermitTime(lastUnmovable + 1);
	}

	/** How many more urgent ones are due and go before one whose turn has come. */
	countDueMoreUrgent(urgency: number, now: number): number {
		this.dropExpired(now);
		return this.reservations.filter(each => each.urgency < urgency && each.dueAt <= now).length;
	}

	add(reservation: Reservation): void {
		this.reservations.push(reservation);
	}

	/** Takes a reservation out; whether it was there. */
	remove(id: string): boolean {
		const before = this.reservations.length;
		this.reservations = this.reservations.filter(each => each.id !== id);
		return this.reservations.length < before;
	}

	private dropExpired(now: number): void {
		this.reservations = this.reservations.filter(({dueAt}) => now <= dueAt + expiryGraceMs);
	}
}
