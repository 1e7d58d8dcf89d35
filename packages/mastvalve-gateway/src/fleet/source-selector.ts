/**
 * Selects the control instance that an entry polls for changes: the one that answered last, unless there is a nearer one
 * without a recent failure. Deterministic; it reads the time from its options and does no I/O.
 */

export type SourceSelectorOptions = {
	/** Returns the distance of an instance; lower is nearer. */
	distanceTo: (address: string) => number;
	/** Monotonic clock, ms. */
	now: () => number;
};

/**
 * Time for which a nearer instance is avoided after a failure, ms. Polling an unresponsive instance costs 0.8 s without
 * updates, so it must not occur more often than failures do.
 */
const avoidanceMs = 10_000;

export class SourceSelector {
	/** The instance that answered last; undefined if it has failed since. */
	private current: string | undefined;
	/** Until when failed instances are avoided, by address, ms. */
	private readonly avoidedUntil = new Map<string, number>();

	constructor(private readonly options: SourceSelectorOptions) {}

	/** Returns the instance to poll next; undefined if none is known to answer. */
	select(members: readonly string[]): string | undefined {
		const {current} = this;
		if (current === undefined) {
			return undefined;
		}

		const {distanceTo, now} = this.options;
		const nearer = members.find(address => distanceTo(address) < distanceTo(current) && now() >= (this.avoidedUntil.get(address) ?? Number.NEGATIVE_INFINITY));
		return nearer ?? current;
	}

	/** Records that an instance answered; returns whether it differs from the previous one. */
	recordAnswer(address: string): boolean {
		const isNew = this.current !== address;
		this.current = address;
		this.avoidedUntil.delete(address);
		return isNew;
	}

	/** Records that an instance failed; returns whether no instance is known to answer any more. */
	recordFailure(address: string): boolean {
		this.avoidedUntil.set(address, this.options.now() + avoidanceMs);
		const isLost = this.current === undefined || this.current === address;
		this.current = isLost ? undefined : this.current;
		return isLost;
	}
}
