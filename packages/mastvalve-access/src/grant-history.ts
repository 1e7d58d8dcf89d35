/**
 * Recent grants of an entry. A new leader doesn't know what its predecessor granted; the entries report it, so that windows continue
 * across a change of leader.
 */

import type {PriorGrant} from './limit-ledger.js';

/** Grants are reported in steps of this length, ms. */
const stepMs = 500;

type Grant = {workspace: string; cost: number; at: number};

/** Grants of one entry within the window of the limits. Times are monotonic, ms. */
export class GrantHistory {
	private readonly grants: Grant[] = [];
	private readonly sums = new Map<string, number>();

	constructor(private readonly windowMs: number) {}

	record(workspace: string, cost: number, now: number): void {
		this.dropExpired(now);
		this.grants.push({workspace, cost, at: now});
		this.sums.set(workspace, this.computeSum(workspace, now) + cost);
	}

	/** Returns the sum of a workspace's grants at this entry within the window. */
	computeSum(workspace: string, now: number): number {
		this.dropExpired(now);
		return this.sums.get(workspace) ?? 0;
	}

	/** Returns the sums by workspace. */
	listSums(now: number): Map<string, number> {
		this.dropExpired(now);
		return new Map(this.sums);
	}

	/** Lists the grants for a new leader: sums by workspace and step, each with the age of its latest grant. */
	listPriorGrants(now: number): PriorGrant[] {
		this.dropExpired(now);
		const steps = new Map<string, PriorGrant>();
		this.grants.forEach(({workspace, cost, at}) => {
			const key = `${workspace} ${Math.floor((now - at) / stepMs)}`;
			const known = steps.get(key) ?? {workspace, amount: 0, ageMs: now - at};
			steps.set(key, {workspace, amount: known.amount + cost, ageMs: Math.min(known.ageMs, now - at)});
		});
		return [...steps.values()];
	}

	private dropExpired(now: number): void {
		const kept = this.grants.findIndex(({at}) => at > now - this.windowMs);
		this.grants.splice(0, kept === -1 ? this.grants.length : kept).forEach(({workspace, cost}) => {
			const left = (this.sums.get(workspace) ?? 0) - cost;
			if (left > 0) {
				this.sums.set(workspace, left);
			} else {
				this.sums.delete(workspace);
			}
		});
	}
}
