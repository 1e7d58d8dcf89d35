/**
 * Decides when the holder of the order lease may send orders to an engine that received orders from a former holder: an
 * engine must not receive orders from two holders within one lease.
 *
 * Every order is preceded by a committed record, so each control instance knows from the log an upper bound for the time of
 * the last order to an engine. Engines without an order for longer than the lease may receive orders immediately.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';

/** Holder of the order lease before the current claim. */
export enum FormerHolder {
	None = 'none',
	Itself = 'itself',
	Other = 'other',
}

type ObservedOrder = {orderedAt: number; at: number};

export class OrderLeaseGuard {
	private readonly observed = new Map<string, ObservedOrder>();
	/** Engines that are free for the orders of this holder. */
	private readonly allowed = new Set<string>();
	private claimedAt: number | undefined;
	private hasFormerHolder = false;

	/** `leaseMs` is the time after an order during which another holder may not send orders to the same engine. */
	constructor(private readonly leaseMs: number) {}

	/** Notes the time at which records of orders are first observed; must be called often on every instance that may become the holder. */
	observe(endpoints: readonly FleetEndpoint[], now: number): void {
		const ids = new Set(endpoints.map(({id}) => id));
		[...this.observed.keys()].filter(id => !ids.has(id)).forEach(id => {
			this.observed.delete(id);
		});
		endpoints.forEach(({id, orderedAt}) => {
			if (this.observed.get(id)?.orderedAt !== orderedAt) {
				this.observed.set(id, {orderedAt, at: now});
			}
		});
	}

	/**
	 * Starts the claim of this instance. If it was the former holder itself, the wait of its earlier claim continues; if it
	 * doesn't know that claim, it has restarted, and the wait for the holder before that may not have been over.
	 */
	startClaim(now: number, former: FormerHolder): void {
		if (former === FormerHolder.Itself && this.claimedAt !== undefined) {
			return;
		}

		this.claimedAt = now;
		this.hasFormerHolder = former !== FormerHolder.None;
		this.allowed.clear();
	}

	/** Whether this holder may send orders to an engine. */
	mayOrder(endpoint: FleetEndpoint, now: number): boolean {
		if (!this.allowed.has(endpoint.id) && this.hasFormerLeaseExpired(endpoint, now)) {
			this.allowed.add(endpoint.id);
		}

		return this.allowed.has(endpoint.id);
	}

	private hasFormerLeaseExpired({id, orderedAt, isOrdering}: FleetEndpoint, now: number): boolean {
		const isFormerLeaseOver = !this.hasFormerHolder || orderedAt === 0 || now >= (this.claimedAt ?? now) + this.leaseMs;
		const lastOrderAt = this.observed.get(id)?.at ?? now;
		return isFormerLeaseOver || (!isOrdering && now >= lastOrderAt + this.leaseMs);
	}
}
