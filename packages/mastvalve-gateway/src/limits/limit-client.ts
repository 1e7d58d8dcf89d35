/**
 * Claims request costs of workspaces and permits of limited endpoints from the leader, which counts them for all entries. Claims that
 * arrive while a call is in flight are batched into the next one. While no leader answers, each workspace continues at its recent rate
 * on this entry, and each limited endpoint gets this entry's share of its limit.
 */

import {
	DisconnectedLimits, GrantHistory, maxCallIntervalMs, type LimitClaim, type LimitedWorkspace,
} from 'mastvalve-access';
import type {LimitResponse} from 'mastvalve-fleet-control';
import {
	DisconnectedRates, type PermitClaim, type PermitResult, type LimitReport,
} from 'mastvalve-limits';
import {
	emptyLimitRequest, LimitLeaderClient, type LimitLeaderClientOptions, type LimitRequestBody,
} from './limit-leader-client.js';
import {
	LimitBatch, type CostClaimOutcome, type PermitOutcome,
} from './limit-batch.js';

export type LimitClientOptions = Omit<LimitLeaderClientOptions, 'history'> & {
	/** Window over which the limits of workspaces are counted, ms. */
	windowMs: number;
	/** Random numbers in [0, 1). */
	random: () => number;
	/** Number of entries that share the limits of endpoints; undefined until control has reported it. */
	readEntryCount: () => number | undefined;
	/** Waits for a time in ms, or until the signal aborts. */
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	onEvent: (kind: string, detail: string) => void;
};

/** Shortest wait before a call without claims, ms: a call may be in flight for longer than the interval. */
const minContactWaitMs = 50;
/** Pause between probes for a leader while none answers, ms. */
const leaderProbeIntervalMs = 100;
/** Retry-After of refusals without a leader, ms: a leader is elected within 1.5 s. */
const disconnectedRetryAfterMs = 1000;
/** Maximum number of reports kept while no leader answers; the oldest are dropped, since later ones are more current. */
const maxPendingReports = 200;

/** Grant for a claim that the leader's response does not cover. */
const noGrant: PermitResult = {endpoint: undefined, waitMs: disconnectedRetryAfterMs, reservation: undefined};

export class LimitClient {
	/** Whether no leader answers. */
	isDisconnected = false;
	private pending = new LimitBatch();
	private isCalling = false;
	/** Whether a call is due without claims. */
	private isContactDue = false;
	private isKeepingContact = false;
	private calledAt = Number.NEGATIVE_INFINITY;
	private readonly leader: LimitLeaderClient;
	private readonly history: GrantHistory;
	private readonly localLimits: DisconnectedLimits;
	private readonly localRates: DisconnectedRates;
	/** The leader that has the grant history of this entry. */
	private informedLeader: string | undefined;

	constructor(private readonly options: LimitClientOptions) {
		this.history = new GrantHistory(options.windowMs);
		this.localLimits = new DisconnectedLimits(this.history, options.windowMs);
		this.localRates = new DisconnectedRates(options);
		this.leader = new LimitLeaderClient({...options, history: this.history});
	}

	/** Number of entries that share the limits of endpoints; undefined until control has reported it. */
	get entryCount(): number | undefined {
		return this.options.readEntryCount();
	}

	/** Claims the cost of a request from the limit of its workspace. */
	async claimCost(workspace: LimitedWorkspace, cost: number): Promise<CostClaimOutcome> {
		if (this.isDisconnected) {
			return this.decideCostLocally(workspace, cost);
		}

		return new Promise(resolve => {
			this.pending.costClaims.push({claim: {workspace: workspace.name, cost}, workspace, resolve});
			void this.sendPending();
		});
	}

	/** Refunds the cost of a request that was not run, with the next call. */
	refundCost(workspace: string, cost: number): void {
		this.history.refund(workspace, cost, this.options.now());
		if (!this.isDisconnected) {
			this.pending.refunds.push({workspace, cost: -cost});
		}
	}

	/** Claims a permit at one of several endpoints. `perSecond` has their limits as known to this entry. */
	async claimPermit(claim: PermitClaim, perSecond: ReadonlyMap<string, number>): Promise<PermitOutcome> {
		if (this.isDisconnected) {
			return this.decidePermitLocally(claim, perSecond);
		}

		return new Promise(resolve => {
			this.pending.permitClaims.push({claim, perSecond, resolve});
			void this.sendPending();
		});
	}

	/** Returns a permit that was not used, with the next call. */
	returnPermit(endpoint: string): void {
		if (!this.isDisconnected) {
			this.pending.unusedPermits.push(endpoint);
		}
	}

	/** Releases a reservation at once, so that another request can get the permit. */
	releaseReservation(reservation: string): void {
		if (!this.isDisconnected) {
			this.pending.releasedReservations.push(reservation);
			void this.sendPending();
		}
	}

	/** Reports the limit that an endpoint sent with an answer. */
	reportLimit(report: LimitReport): void {
		this.pending.reports.push(report);
		this.pending.reports.splice(0, this.pending.reports.length - maxPendingReports);
		if (!this.isDisconnected) {
			void this.sendPending();
		}
	}

	/** Sends the grant history to a new leader at once, unless it is empty. */
	informNewLeader(): void {
		const leader = this.options.readLeader();
		if (leader === this.informedLeader || leader === undefined || this.isDisconnected) {
			return;
		}

		this.informedLeader = leader;
		if (this.history.listSums(this.options.now()).size > 0) {
			void this.send(emptyLimitRequest).then(async () => this.sendPending());
		}
	}

	private async sendPending(): Promise<void> {
		if (this.isCalling) {
			return;
		}

		this.isCalling = true;
		while ((this.pending.needsCall || this.isContactDue) && !this.isDisconnected) {
			const batch = this.takePending();
			// Calls are sequential.
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.send(batch.toRequest());
			if (answers) {
				this.settle(batch, answers);
			} else {
				this.disconnect();
				this.settleLocally(batch);
				// Claims that arrived during the call would otherwise stay pending until a leader answers.
				this.settleLocally(this.takePending());
			}
		}

		this.isCalling = false;
	}

	private async send(body: LimitRequestBody): Promise<LimitResponse | undefined> {
		const sentAt = this.options.now();
		this.isContactDue = false;
		this.calledAt = sentAt;
		const isKeepingContact = this.history.listSums(sentAt).size > 0;
		if (!isKeepingContact) {
			this.localLimits.dropExcess();
		}

		const excess = this.localLimits.heldExcess;
		const answers = await this.leader.send({...body, isKeepingContact, excess});
		if (answers) {
			// A new leader holds back what this entry held from the former one until a call shows that it has the new share.
			this.isContactDue ||= excess !== undefined && excess.term !== answers.excess?.term;
			this.localLimits.recordAnswer(answers.busy, sentAt, answers.excess);
		}

		return answers;
	}

	private takePending(): LimitBatch {
		const batch = this.pending;
		this.pending = new LimitBatch();
		return batch;
	}

	private settle({refunds, costClaims, permitClaims}: LimitBatch, {waitMs, grants, grantedAt}: LimitResponse): void {
		costClaims.forEach(({claim, resolve}, index) => {
			resolve(this.settleCostClaim(claim, waitMs[refunds.length + index] ?? 0));
		});
		permitClaims.forEach(({resolve}, index) => {
			resolve({...(grants[index] ?? noGrant), grantedAt});
		});
	}

	private settleLocally({costClaims, permitClaims, reports}: LimitBatch): void {
		this.pending.reports.push(...reports);
		costClaims.forEach(({claim, workspace, resolve}) => {
			resolve(this.decideCostLocally(workspace, claim.cost));
		});
		permitClaims.forEach(({claim, perSecond, resolve}) => {
			resolve(this.decidePermitLocally(claim, perSecond));
		});
	}

	private settleCostClaim({workspace, cost}: LimitClaim, waitMs: number): CostClaimOutcome {
		const now = this.options.now();
		if (waitMs > 0) {
			this.localLimits.recordRefusal(workspace, now);
			return {isTaken: false, waitMs};
		}

		this.history.record(workspace, cost, now);
		void this.keepContact();
		return {isTaken: true, waitMs: 0};
	}

	private decideCostLocally(workspace: LimitedWorkspace, cost: number): CostClaimOutcome {
		const now = this.options.now();
		const isTaken = this.localLimits.mayGrant(workspace, cost, now);
		if (isTaken) {
			this.history.recordLocal(workspace.name, cost, now);
		}

		return {isTaken, waitMs: disconnectedRetryAfterMs};
	}

	private decidePermitLocally({endpoints}: PermitClaim, perSecond: ReadonlyMap<string, number>): PermitOutcome {
		return {...this.localRates.claim(endpoints, perSecond, this.options.now()), grantedAt: undefined};
	}

	/** Starts deciding locally, and probes for a leader. */
	private disconnect(): void {
		if (this.isDisconnected) {
			return;
		}

		this.isDisconnected = true;
		this.localLimits.disconnect(this.options.now());
		this.options.onEvent('limits.disconnected', 'no leader answers limit requests; each workspace continues at its recent rate on this entry, and limited endpoints get this entry\'s share of their limits');
		void this.findLeader();
	}

	/** Calls the leader now and then while this entry holds grants, and until it has given up its share of the excess. */
	private async keepContact(): Promise<void> {
		const {signal, wait, now} = this.options;
		if (this.isKeepingContact) {
			return;
		}

		this.isKeepingContact = true;
		while ((this.history.listSums(now()).size > 0 || (this.localLimits.heldExcess?.parts ?? 0) > 0) && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await wait(Math.max(minContactWaitMs, this.calledAt + maxCallIntervalMs - now()), signal);
			this.isContactDue = now() >= this.calledAt + maxCallIntervalMs;
			void this.sendPending();
		}

		this.isKeepingContact = false;
	}

	private async findLeader(): Promise<void> {
		const {signal, wait, onEvent} = this.options;
		while (this.isDisconnected && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.send(emptyLimitRequest);
			if (answers) {
				this.isDisconnected = false;
				this.localLimits.reconnect();
				this.localRates.reset();
				// Reports what was granted here while the call was in flight.
				this.isContactDue = true;
				onEvent('limits.regained', 'a leader answers limit requests again');
				void this.sendPending();
			} else {
				// eslint-disable-next-line no-await-in-loop
				await wait(leaderProbeIntervalMs, signal);
			}
		}
	}
}
