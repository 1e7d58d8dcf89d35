/**
 * Grants of silent entries in the window of one workspace. A disconnected entry grants itself for some seconds what it was granted in its
 * last window, so these grants count until it calls again, or until all that it granted itself has left the window.
 */

import type {EntryCalls} from './entry-calls.js';

/** Sum of the grants of one entry, and the time of its last call. */
type SilentGrant = {amount: number; calledAt: number};

/** Times are monotonic, ms. */
export class SilentGrants {
	private readonly grants = new Map<string, SilentGrant>();

	constructor(private readonly calls: EntryCalls) {}

	/** Takes over the grants of a slot that leaves the window at a time, as far as their entries are silent then. */
	takeOver(byEntry: ReadonlyMap<string, number>, at: number): void {
		byEntry.forEach((amount, entry) => {
			const calledAt = this.calls.findSilentSince(entry, at);
			if (calledAt !== undefined) {
				const known = this.grants.get(entry);
				this.grants.set(entry, {amount: amount + (known?.calledAt === calledAt ? known.amount : 0), calledAt});
			}
		});
	}

	computeSum(now: number): number {
		this.dropEnded(now);
		return [...this.grants.values()].reduce((sum, {amount}) => sum + amount, 0);
	}

	/** Lists the amounts with the times at which they stop counting at the latest. */
	listExpiries(): Array<{amount: number; at: number}> {
		return [...this.grants.values()].map(({amount, calledAt}) => ({amount, at: this.calls.computeEnd(calledAt)}));
	}

	private dropEnded(now: number): void {
		this.grants.forEach(({calledAt}, entry) => {
			if (now >= this.calls.computeEnd(calledAt) || this.calls.hasCalledSince(entry, calledAt)) {
				this.grants.delete(entry);
			}
		});
	}
}
