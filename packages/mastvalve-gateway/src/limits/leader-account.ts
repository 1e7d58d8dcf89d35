/**
 * Calls to the leader that counts limits for all entries. A leader that doesn't know what this entry was granted before is told
 * first.
 */

import type {GrantHistory} from 'mastvalve-access';
import type {PeerClient} from 'mastvalve-cluster';
import type {LimitResponse, LimitRequest} from 'mastvalve-fleet-control';

/** What it is made from. */
export type LeaderAccountOptions = {
	/** Name of this life of the entry. */
	entry: string;
	client: Pick<PeerClient, 'call'>;
	readLeader: () => string | undefined;
	/** What this entry was granted. */
	history: GrantHistory;
	/** Monotonic, ms. */
	now: () => number;
	/** Aborts when the entry ends. */
	signal: AbortSignal;
};

/** What is asked, without who asks. */
export type AccountQuestion = Omit<LimitRequest, 'entry' | 'history'>;

/** A question that claims nothing: whether a leader answers. */
export const emptyQuestion: AccountQuestion = {
	claims: [], words: [], handovers: [], unused: [], released: [],
};

/** A leader with which no byte moves for this long is out of reach, ms: two messages within a region take 3 ms, a round of planning up to 20 ms, and callers wait. */
const silenceMs = 150;
/** A call that fails within this time found a connection that its peer has closed, ms; one that is out of reach takes longer. */
const brokenMs = 50;

/** The calls. */
export class LeaderAccount {
	constructor(private readonly options: LeaderAccountOptions) {}

	/** Asks the leader. A call that broke off is made once more: kept connections are closed now and then, and a claim that counts twice harms nobody. */
	async ask(asked: AccountQuestion): Promise<LimitResponse | undefined> {
		const {entry, history, now} = this.options;
		const question: LimitRequest = {...asked, entry};
		const askedAt = now();
		const first = await this.call(question);
		const hasBroken = first === undefined && now() - askedAt < brokenMs;
		const answer = hasBroken ? await this.call(question) : first;
		if (!answer?.needsHistory) {
			return answer;
		}

		const told = await this.call({...question, history: history.listPriorGrants(now())});
		return told?.needsHistory === false ? told : undefined;
	}

	private async call(question: LimitRequest): Promise<LimitResponse | undefined> {
		const {client, readLeader, signal} = this.options;
		const address = readLeader();
		if (address === undefined) {
			return undefined;
		}

		const answer = await client.call<LimitResponse>({
			address, path: '/limits', body: question, silenceMs, signal,
		});
		return answer.isOk() ? answer.value : undefined;
	}
}
