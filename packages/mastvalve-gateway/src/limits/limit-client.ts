/**
 * Claims from the leader, which counts for all entries, what requests cost their workspaces, and permits of limited endpoints. Claims
 * that come while a call is on its way go together with the next one. While no leader answers, each workspace goes on by what it
 * had here, and each limited endpoint gets this entry's part of its limit.
 */

import {GrantHistory, DisconnectedLimits, type LimitClaim} from 'mastvalve-access';
import type {LimitResponse} from 'mastvalve-fleet-control';
import {
	DisconnectedRates, type PermitClaim, type PermitResult, type LimitReport,
} from 'mastvalve-limits';
import {emptyQuestion, LeaderAccount, type LeaderAccountOptions} from './leader-account.js';
import {
	LimitBatch, type ClaimOutcome, type HandoverOutcome,
} from './limit-batch.js';

/** What it is made from. */
export type LimitClientOptions = Omit<LeaderAccountOptions, 'history'> & {
	/** Window in which the limits of workspaces are counted, ms. */
	windowMs: number;
	/** Numbers in [0, 1). */
	random: () => number;
	/** How many entries share the limits of endpoints; undefined when control has told none. */
	readEntryCount: () => number | undefined;
	/** Waits so many ms, or until the signal aborts. */
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	onEvent: (kind: string, detail: string) => void;
};

/** How often a leader is looked for while none answers, ms. */
const probePauseMs = 100;
/** Retry-After of refusals that no leader counted, ms: leaders are elected within 1.5 s. */
const disconnectedRetryMs = 1000;
/** Words of limits that wait while no leader answers; the oldest give way, since later answers tell more. */
const maxWaitingWords = 200;

/** A leader that answers fewer claims than it was asked. */
const noGrant: PermitResult = {endpoint: undefined, waitMs: disconnectedRetryMs, reservation: undefined};

/** The client. */
export class LimitClient {
	/** Whether no leader answers. */
	isDisconnected = false;
	private next = new LimitBatch();
	private isCalling = false;
	private readonly account: LeaderAccount;
	private readonly history: GrantHistory;
	private readonly localLimits: DisconnectedLimits;
	private readonly localRates: DisconnectedRates;
	/** The leader that was told what this entry was granted before. */
	private knownLeader: string | undefined;

	constructor(private readonly options: LimitClientOptions) {
		this.history = new GrantHistory(options.windowMs);
		this.localLimits = new DisconnectedLimits(this.history, options.windowMs);
		this.localRates = new DisconnectedRates(options);
		this.account = new LeaderAccount({...options, history: this.history});
	}

	/** Entries that share the limits of endpoints; undefined when control has told none. */
	get entries(): number | undefined {
		return this.options.readEntryCount();
	}

	/** Claims what a request costs its workspace. */
	async claim(workspace: string, cost: number): Promise<ClaimOutcome> {
		const claim = {workspace, cost};
		if (this.isDisconnected) {
			return this.decideLocally(claim);
		}

		return new Promise(resolve => {
			this.next.claims.push({claim, resolve});
			void this.callWhileDue();
		});
	}

	/** A claim was taken for a request that has not run; the leader hears of it with the next call. */
	giveBack(workspace: string, cost: number): void {
		if (!this.isDisconnected) {
			this.next.returned.push({workspace, cost: -cost});
		}
	}

	/** Claims a permit at one of several endpoints. `perSecond` tells their limits as far as this entry knows them. */
	async claimHandover(claim: PermitClaim, perSecond: ReadonlyMap<string, number>): Promise<HandoverOutcome> {
		if (this.isDisconnected) {
			return this.decideHandoverLocally(claim, perSecond);
		}

		return new Promise(resolve => {
			this.next.handovers.push({claim, perSecond, resolve});
			void this.callWhileDue();
		});
	}

	/** A request that was let through was not handed over; the leader hears of it with the next call. */
	giveBackHandover(endpoint: string): void {
		if (!this.isDisconnected) {
			this.next.unused.push(endpoint);
		}
	}

	/** A request waits no more; the leader hears of it at once, since others may have its turn. */
	releaseHandover(reservation: string): void {
		if (!this.isDisconnected) {
			this.next.released.push(reservation);
			void this.callWhileDue();
		}
	}

	/** Tells the leader what an answer said of its endpoint's limit. */
	tell(word: LimitReport): void {
		this.next.words.push(word);
		this.next.words.splice(0, this.next.words.length - maxWaitingWords);
		if (!this.isDisconnected) {
			void this.callWhileDue();
		}
	}

	/** Tells a new leader at once what this entry was granted before, if it was granted anything. */
	noteLeader(): void {
		const leader = this.options.readLeader();
		if (leader === this.knownLeader || leader === undefined || this.isDisconnected) {
			return;
		}

		this.knownLeader = leader;
		if (this.history.listSums(this.options.now()).size > 0) {
			void this.account.ask(emptyQuestion);
		}
	}

	private async callWhileDue(): Promise<void> {
		if (this.isCalling) {
			return;
		}

		this.isCalling = true;
		while (this.next.isDue && !this.isDisconnected) {
			const batch = this.takeNext();
			// One call after the other.
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.account.ask(batch.toQuestion());
			if (answers) {
				this.settle(batch, answers);
			} else {
				this.disconnect();
				this.settleLocally(batch);
				// Nobody else looks at what has come up during the call: it would wait for the next leader.
				this.settleLocally(this.takeNext());
			}
		}

		this.isCalling = false;
	}

	private takeNext(): LimitBatch {
		const batch = this.next;
		this.next = new LimitBatch();
		return batch;
	}

	private settle({returned, claims, handovers}: LimitBatch, {waitMs, grants, grantedAt}: LimitResponse): void {
		claims.forEach(({claim, resolve}, index) => {
			resolve(this.takeAnswer(claim, waitMs[returned.length + index] ?? 0));
		});
		handovers.forEach(({resolve}, index) => {
			resolve({...(grants[index] ?? noGrant), grantedAt});
		});
	}

	private settleLocally({claims, handovers, words}: LimitBatch): void {
		this.next.words.push(...words);
		claims.forEach(({claim, resolve}) => {
			resolve(this.decideLocally(claim));
		});
		handovers.forEach(({claim, perSecond, resolve}) => {
			resolve(this.decideHandoverLocally(claim, perSecond));
		});
	}

	private takeAnswer({workspace, cost}: LimitClaim, waitMs: number): ClaimOutcome {
		const now = this.options.now();
		if (waitMs > 0) {
			this.localLimits.recordRefusal(workspace, now);
			return {isTaken: false, waitMs};
		}

		this.history.record(workspace, cost, now);
		return {isTaken: true, waitMs: 0};
	}

	private decideLocally({workspace, cost}: LimitClaim): ClaimOutcome {
		const now = this.options.now();
		const isTaken = this.localLimits.mayGrant(workspace, cost, now);
		if (isTaken) {
			this.history.record(workspace, cost, now);
		}

		return {isTaken, waitMs: disconnectedRetryMs};
	}

	private decideHandoverLocally({endpoints}: PermitClaim, perSecond: ReadonlyMap<string, number>): HandoverOutcome {
		return {...this.localRates.claim(endpoints, perSecond, this.options.now()), grantedAt: undefined};
	}

	/** Decides by itself, and looks for a leader meanwhile. */
	private disconnect(): void {
		if (this.isDisconnected) {
			return;
		}

		this.isDisconnected = true;
		this.localLimits.disconnect(this.options.now());
		this.options.onEvent('limits.disconnected', 'no leader answers for limits; each workspace goes on by what it had here, and limited endpoints get this entry\'s part');
		void this.findLeader();
	}

	private async findLeader(): Promise<void> {
		const {signal, wait, onEvent} = this.options;
		while (this.isDisconnected && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.account.ask(emptyQuestion);
			if (answers) {
				this.isDisconnected = false;
				this.localLimits.reconnect();
				this.localRates.reset();
				onEvent('limits.regained', 'a leader answers for limits');
				void this.callWhileDue();
			} else {
				// eslint-disable-next-line no-await-in-loop
				await wait(probePauseMs, signal);
			}
		}
	}
}
