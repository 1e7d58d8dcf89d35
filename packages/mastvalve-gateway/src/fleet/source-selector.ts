/**
 * Which control instance an entry asks for changes: the one that answered last, unless a nearer one is known that has not
 * failed lately. A plain piece of state: no clock, no sockets.
 */

/** What the choice rests on. */
export type SourceSelectorOptions = {
	/** Lower is nearer. */
	distanceTo: (address: string) => number;
	/** Monotonic, ms. */
	now: () => number;
};

/**
 * A nearer instance that has failed is tried again after this, ms. One that says nothing costs 0.8 s without news, so it may
 * not come more often than disturbances do.
 */
const avoidanceMs = 10_000;

/** The choice. */
export class SourceSelector {
	/** Who answered last; undefined when that one has failed since. */
	private current: string | undefined;
	/** Until when instances that have failed are avoided, ms. */
	private readonly avoidedUntil = new Map<string, number>();

	constructor(private readonly options: SourceSelectorOptions) {}

	/** Whom to ask next; undefined when nobody is known to answer. */
	select(members: readonly string[]): string | undefined {
		const {current} = this;
		if (current === undefined) {
			return undefined;
		}

		const {distanceTo, now} = this.options;
		const nearer = members.find(address => distanceTo(address) < distanceTo(current) && now() >= (this.avoidedUntil.get(address) ?? Number.NEGATIVE_INFINITY));
		return nearer ?? current;
	}

	/** An instance answered; whether it is another one than before. */
	recordAnswer(address: string): boolean {
		const isNew = this.current !== address;
		this.current = address;
		this.avoidedUntil.delete(address);
		return isNew;
	}

	/** An instance failed; whether that leaves nobody who is known to answer. */
	recordFailure(address: string): boolean {
		this.avoidedUntil.set(address, this.options.now() + avoidanceMs);
		const isLost = this.current === undefined || this.current === address;
		this.current = isLost ? undefined : this.current;
		return isLost;
	}
}
