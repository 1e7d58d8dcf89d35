/**
 * When the holder of the orders may order an engine that another holder has ordered before: engines must not see two
 * holders within the time of an order lease.
 *
 * Every order is preceded by a committed record, so each control instance knows from the log when an engine was last
 * ordered at the latest. Engines that were left alone for longer than the lease may be ordered at once.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';

/** Who held the orders before. */
export enum FormerHolder {
	None = 'none',
	Itself = 'itself',
	Other = 'other',
}

type Seen = {orderedAt: number; at: number};

/** The turns at all engines. */
export class OrderLeaseGuard {
	private readonly seen = new Map<string, Seen>();
	private readonly own = new Set<string>();
	private claimedAt: number | undefined;
	private isAfterOther = false;

	/** `leaseMs` is the time for which the orders of one holder keep another from ordering. */
	constructor(private readonly leaseMs: number) {}

	/** Notes when records of orders are seen; to be called often, by whoever may become the holder. */
	observe(endpoints: readonly FleetEndpoint[], now: number): void {
		const ids = new Set(endpoints.map(({id}) => id));
		[...this.seen.keys()].filter(id => !ids.has(id)).forEach(id => {
			this.seen.delete(id);
		});
		endpoints.forEach(({id, orderedAt}) => {
			if (this.seen.get(id)?.orderedAt !== orderedAt) {
				this.seen.set(id, {orderedAt, at: now});
			}
		});
	}

	/**
	 * This instance has become the holder. One that claims again after itself goes on with the wait of its former claim; if
	 * it doesn't know that claim, it was restarted, and may have waited in vain for whoever came before.
	 */
	startClaim(now: number, former: FormerHolder): void {
		if (former === FormerHolder.Itself && this.claimedAt !== undefined) {
			return;
		}

		this.claimedAt = now;
		this.isAfterOther = former !== FormerHolder.None;
		this.own.clear();
	}

	/** Whether this holder may order an engine. */
	mayOrder(endpoint: FleetEndpoint, now: number): boolean {
		if (!this.own.has(endpoint.id) && this.isFree(endpoint, now)) {
			this.own.add(endpoint.id);
		}

		return this.own.has(endpoint.id);
	}

	private isFree({id, orderedAt, isOrdering}: FleetEndpoint, now: number): boolean {
		const hasOtherEnded = !this.isAfterOther || orderedAt === 0 || now >= (this.claimedAt ?? now) + this.leaseMs;
		const lastOrderAt = this.seen.get(id)?.at ?? now;
		return hasOtherEnded || (!isOrdering && now >= lastOrderAt + this.leaseMs);
	}
}
