/**
 * Recent grants of an entry. A new leader doesn't know what its predecessor granted to which entry, and no leader knows what an entry
 * granted itself; the entries report both, so that windows continue across changes of leader.
 */

import {reportStepMs, unreportedGrantMs} from './grant-times.js';
import type {PriorGrant} from './prior-grant.js';

type Grant = {workspace: string; cost: number; at: number; isLocal: boolean; sequence: number};

/** Grants of one entry within the window of the limits. Times are monotonic, ms. */
export class GrantHistory {
	private readonly grants: Grant[] = [];
	/** Grants of leaders that have left the window, for as long as a leader may still count them as unreported. */
	private readonly past: Grant[] = [];
	private readonly sums = new Map<string, number>();
	/** Number of grants so far. */
	private sequence = 0;
	/** Number of the last grant that a leader knows of. */
	private reportedUpTo = 0;

	constructor(private readonly windowMs: number) {}

	/** Number of the last grant. */
	get lastSequence(): number {
		return this.sequence;
	}

	/** Records what the leader granted. */
	record(workspace: string, cost: number, now: number): void {
		this.add(workspace, cost, false, now);
	}

	/** Records what the entry granted itself. */
	recordLocal(workspace: string, cost: number, now: number): void {
		this.add(workspace, cost, true, now);
	}

	/** Refunds a cost that was not run, from the earliest grants as the leader does: the entry must not report more than the leader counts. */
	refund(workspace: string, cost: number, now: number): void {
		this.dropExpired(now);
		const left = this.grants.filter(grant => grant.workspace === workspace).reduce((rest, grant) => {
			const back = Math.min(rest, grant.cost);
			grant.cost -= back;
			return rest - back;
		}, cost);
		this.reduceSum(workspace, cost - left);
	}

	/** Returns the sum of a workspace's grants at this entry within the window. */
	computeSum(workspace: string, now: number): number {
		this.dropExpired(now);
		return this.sums.get(workspace) ?? 0;
	}

	/** Returns the sum of a workspace's present grants that will still be in the window at a time. */
	computeRemaining(workspace: string, at: number): number {
		return this.listRemaining(at).filter(grant => grant.workspace === workspace).reduce((sum, {cost}) => sum + cost, 0);
	}

	/** Returns the sums by workspace. */
	listSums(now: number): Map<string, number> {
		this.dropExpired(now);
		return new Map(this.sums);
	}

	/** Returns the sums by workspace of the present grants that a leader knows of and that will still be in the window at a time. */
	listRemainingSums(at: number): Map<string, number> {
		const sums = new Map<string, number>();
		this.listRemaining(at).filter(grant => !this.isUnreported(grant)).forEach(({workspace, cost}) => {
			sums.set(workspace, (sums.get(workspace) ?? 0) + cost);
		});
		return sums;
	}

	/** Lists the grants for a new leader: sums by workspace and step, each with the age of its latest grant. */
	listPriorGrants(now: number): PriorGrant[] {
		this.dropExpired(now);
		return this.sumSteps([...this.past, ...this.grants], now);
	}

	/** Lists the grants of this entry that no leader knows of. */
	listUnreported(now: number): PriorGrant[] {
		this.dropExpired(now);
		return this.sumSteps(this.grants.filter(grant => this.isUnreported(grant)), now);
	}

	/** Records that a leader knows the grants up to a number. */
	markReported(sequence: number): void {
		this.reportedUpTo = Math.max(this.reportedUpTo, sequence);
	}

	private add(workspace: string, cost: number, isLocal: boolean, now: number): void {
		this.dropExpired(now);
		this.sequence += 1;
		this.grants.push({
			workspace, cost, at: now, isLocal, sequence: this.sequence,
		});
		this.sums.set(workspace, (this.sums.get(workspace) ?? 0) + cost);
	}

	private isUnreported({isLocal, sequence}: Grant): boolean {
		return isLocal && sequence > this.reportedUpTo;
	}

	private listRemaining(until: number): Grant[] {
		return this.grants.filter(({at}) => at > until - this.windowMs);
	}

	private sumSteps(grants: readonly Grant[], now: number): PriorGrant[] {
		const steps = new Map<string, PriorGrant>();
		grants.forEach(({workspace, cost, at, isLocal}) => {
			const key = `${workspace} ${isLocal} ${Math.floor((now - at) / reportStepMs)}`;
			const known = steps.get(key) ?? {
				workspace, amount: 0, ageMs: now - at, isLocal,
			};
			steps.set(key, {...known, amount: known.amount + cost, ageMs: Math.min(known.ageMs, now - at)});
		});
		return [...steps.values()].filter(({amount}) => amount > 0);
	}

	private dropExpired(now: number): void {
		const kept = this.grants.findIndex(({at}) => at > now - this.windowMs);
		const expired = this.grants.splice(0, kept === -1 ? this.grants.length : kept);
		expired.forEach(({workspace, cost}) => {
			this.reduceSum(workspace, cost);
		});
		this.past.push(...expired.filter(({isLocal}) => !isLocal));
		const reportable = this.past.findIndex(({at}) => at > now - this.windowMs - unreportedGrantMs);
		this.past.splice(0, reportable === -1 ? this.past.length : reportable);
	}

	private reduceSum(workspace: string, cost: number): void {
		const left = (this.sums.get(workspace) ?? 0) - cost;
		if (left > 0) {
			this.sums.set(workspace, left);
		} else {
			this.sums.delete(workspace);
		}
	}
}
