/**
 * Claims what requests cost from the leader, which counts for all entries. Claims that come while a call is on its way go
 * together with the next one. While no leader answers, each workspace goes on by what it had here.
 */

import {GrantHistory, LoneLimits, type LimitClaim} from 'mastvalve-access';
import type {PeerClient} from 'mastvalve-cluster';
import type {LimitAnswers, LimitQuestion} from 'mastvalve-fleet-control';
import {waitFor} from 'mastvalve-utils';

/** What it is made from. */
export type LimitClientOptions = {
	/** Name of this life of the entry. */
	entry: string;
	client: Pick<PeerClient, 'call'>;
	readLeader: () => string | undefined;
	/** Monotonic, ms. */
	now: () => number;
	/** Window in which limits are counted, ms. */
	windowMs: number;
	/** Aborts when the entry ends. */
	signal: AbortSignal;
	onEvent: (kind: string, detail: string) => void;
};

/** Whether a claim was taken, and if not, when there is room, ms. */
export type ClaimOutcome = {isTaken: boolean; waitMs: number};

/** A leader with which no byte moves for this long is out of reach, ms: two messages within a region take 3 ms, a round of planning up to 20 ms, and callers wait. */
const silenceMs = 150;
/** A call that fails within this time found a connection that its peer has closed, ms; one that is out of reach takes longer. */
const brokenMs = 50;
/** How often a leader is looked for while none answers, ms. */
const probePauseMs = 100;
/** When to come again after a refusal that nobody counted, ms: leaders are elected within 1.5 s. */
const aloneRetryMs = 1000;

type Waiting = {claim: LimitClaim; resolve: (outcome: ClaimOutcome) => void};

/** The client. */
export class LimitClient {
	private waiting: Waiting[] = [];
	private returned: LimitClaim[] = [];
	private isCalling = false;
	private isAlone = false;
	private readonly history: GrantHistory;
	private readonly lone: LoneLimits;
	/** The leader that was told what this entry was granted before. */
	private knownLeader: string | undefined;

	constructor(private readonly options: LimitClientOptions) {
		this.history = new GrantHistory(options.windowMs);
		this.lone = new LoneLimits(this.history, options.windowMs);
	}

	/** Claims a cost. */
	async claim(workspace: string, cost: number): Promise<ClaimOutcome> {
		if (this.isAlone) {
			return this.decideAlone({workspace, cost});
		}

		return new Promise(resolve => {
			this.waiting.push({claim: {workspace, cost}, resolve});
			void this.callWhileWaiting();
		});
	}

	/** A claim was taken for a request that has not run; the leader hears of it with the next call. */
	giveBack(workspace: string, cost: number): void {
		if (!this.isAlone) {
			this.returned.push({workspace, cost: -cost});
		}
	}

	/** Tells a new leader at once what this entry was granted before, if it was granted anything. */
	noteLeader(): void {
		const leader = this.options.readLeader();
		if (leader === this.knownLeader || leader === undefined || this.isAlone) {
			return;
		}

		this.knownLeader = leader;
		if (this.history.listSums(this.options.now()).size > 0) {
			void this.call([]);
		}
	}

	private async callWhileWaiting(): Promise<void> {
		if (this.isCalling) {
			return;
		}

		this.isCalling = true;
		while (this.waiting.length > 0) {
			const batch = this.waiting;
			const {returned} = this;
			this.waiting = [];
			this.returned = [];
			// One call after the other.
			// eslint-disable-next-line no-await-in-loop
			const waitMs = await this.call([...returned, ...batch.map(({claim}) => claim)]);
			this.settle(batch, waitMs?.slice(returned.length));
		}

		this.isCalling = false;
	}

	private settle(batch: readonly Waiting[], waitMs: readonly number[] | undefined): void {
		if (!waitMs) {
			this.goAlone();
		}

		batch.forEach(({claim, resolve}, index) => {
			resolve(waitMs ? this.takeAnswer(claim, waitMs[index] ?? 0) : this.decideAlone(claim));
		});
	}

	private takeAnswer({workspace, cost}: LimitClaim, waitMs: number): ClaimOutcome {
		const now = this.options.now();
		if (waitMs > 0) {
			this.lone.recordRefusal(workspace, now);
			return {isTaken: false, waitMs};
		}

		this.history.record(workspace, cost, now);
		return {isTaken: true, waitMs: 0};
	}

	private decideAlone({workspace, cost}: LimitClaim): ClaimOutcome {
		const now = this.options.now();
		const isTaken = this.lone.mayTake(workspace, cost, now);
		if (isTaken) {
			this.history.record(workspace, cost, now);
		}

		return {isTaken, waitMs: aloneRetryMs};
	}

	/** Goes on alone, and looks for a leader meanwhile. */
	private goAlone(): void {
		if (this.isAlone) {
			return;
		}

		this.isAlone = true;
		this.lone.begin(this.options.now());
		this.options.onEvent('limits.alone', 'no leader answers for the limits of workspaces; each goes on by what it had here');
		void this.findLeader();
	}

	private async findLeader(): Promise<void> {
		const {signal, onEvent} = this.options;
		while (this.isAlone && !signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.call([]);
			if (answers) {
				this.isAlone = false;
				this.lone.end();
				onEvent('limits.regained', 'a leader answers for the limits of workspaces');
			} else {
				// eslint-disable-next-line no-await-in-loop
				await waitFor(probePauseMs, signal);
			}
		}
	}

	/** A call that broke off is made once more: kept connections are closed now and then, and a claim that counts twice harms nobody. */
	private async call(claims: readonly LimitClaim[]): Promise<number[] | undefined> {
		const question = {entry: this.options.entry, claims: [...claims]};
		const askedAt = this.options.now();
		const first = await this.ask(question);
		const hasBroken = first === undefined && this.options.now() - askedAt < brokenMs;
		const answer = hasBroken ? await this.ask(question) : first;
		if (!answer?.needsHistory) {
			return answer?.waitMs;
		}

		const told = await this.ask({...question, history: this.history.list(this.options.now())});
		return told?.needsHistory === false ? told.waitMs : undefined;
	}

	private async ask(question: LimitQuestion): Promise<LimitAnswers | undefined> {
		const address = this.options.readLeader();
		if (address === undefined) {
			return undefined;
		}

		const answer = await this.options.client.call<LimitAnswers>({
			address, path: '/limits', body: question, silenceMs, signal: this.options.signal,
		});
		return answer.isOk() ? answer.value : undefined;
	}
}
