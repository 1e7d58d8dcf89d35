/**
 * Who waits for room at a limited endpoint: the more urgent first, and those who came first among equals. Without a line all
 * would be told the same moment; one of them would find room, and the others would ask in vain again and again.
 */

/** Who doesn't come back within this time of its moment has left, ms: messages within a region take a few ms, a busy entry some more. */
const graceMs = 300;

type Place = {urgency: number; dueAt: number};

/** The line of one endpoint. Times are monotonic, ms. */
export class WaitingLine {
	private places: Place[] = [];

	/** How many go before a newcomer of this urgency. */
	countBefore(urgency: number, now: number): number {
		this.dropOverdue(now);
		return this.places.filter(place => place.urgency <= urgency).length;
	}

	/** How many more urgent ones are due and go before one whose moment has come. */
	countDueBefore(urgency: number, now: number): number {
		this.dropOverdue(now);
		return this.places.filter(place => place.urgency < urgency && place.dueAt <= now).length;
	}

	/** One more waits until a moment. */
	join(urgency: number, dueAt: number): void {
		this.places.push({urgency, dueAt});
	}

	/** One of this urgency whose moment has come waits no more. */
	leave(urgency: number): void {
		const [first] = this.places.filter(place => place.urgency === urgency).toSorted((a, b) => a.dueAt - b.dueAt);
		this.places = this.places.filter(place => place !== first);
	}

	private dropOverdue(now: number): void {
		this.places = this.places.filter(({dueAt}) => now <= dueAt + graceMs);
	}
}
