/**
 * Client of the leader, which counts limits for all entries. Repeats a request with this entry's grant history if the leader asks for it.
 */

import {maxAnswerAgeMs, type GrantHistory} from 'mastvalve-access';
import type {PeerClient} from 'mastvalve-cluster';
import type {LimitResponse, LimitRequest} from 'mastvalve-fleet-control';

export type LimitLeaderClientOptions = {
	/** Name of this incarnation of the entry. */
	entry: string;
	client: Pick<PeerClient, 'call'>;
	readLeader: () => string | undefined;
	/** Grants of this entry. */
	history: GrantHistory;
	/** Monotonic clock, ms. */
	now: () => number;
	/** Aborts when the entry stops. */
	signal: AbortSignal;
};

/** A request to the leader; the client adds the entry and its grant history. */
export type LimitRequestBody = Omit<LimitRequest, 'entry' | 'number' | 'history' | 'localGrants'>;

/** A request without claims, to find out whether a leader answers. */
export const emptyLimitRequest: LimitRequestBody = {
	claims: [], words: [], handovers: [], unused: [], released: [],
};

/** A leader is unreachable after this long without a byte, ms: a round trip within a region takes 3 ms, a planning pass up to 20 ms, and callers wait meanwhile. */
const silenceTimeoutMs = 150;
/** A call that fails within this time used a kept connection that the peer had closed, ms; calls to an unreachable peer take longer. */
const closedConnectionMs = 50;

export class LimitLeaderClient {
	/** Number of calls so far. */
	private number = 0;

	constructor(private readonly options: LimitLeaderClientOptions) {}

	/**
	 * Sends a request; undefined when no leader answers. Retries once on a closed connection, since peers close kept ones now and then. A leader
	 * that has handled it counts its claims twice, which exceeds no limit, and its refunds once, by its number.
	 */
	async send(body: LimitRequestBody): Promise<LimitResponse | undefined> {
		const {history, now} = this.options;
		const request = this.createRequest(body);
		const {lastSequence} = history;
		const sentAt = now();
		const firstResponse = await this.call(request);
		const isConnectionClosed = firstResponse === undefined && now() - sentAt < closedConnectionMs;
		const response = isConnectionClosed ? await this.call(request) : firstResponse;
		if (response?.needsHistory) {
			return this.sendWithHistory(request);
		}

		if (response) {
			history.markReported(lastSequence);
		}

		return response;
	}

	/** Repeats a request with the history. Its refunds are void: the history contains what they return no longer, so this leader has not counted it. */
	private async sendWithHistory(request: LimitRequest): Promise<LimitResponse | undefined> {
		const {history, now} = this.options;
		const {lastSequence} = history;
		const claims = request.claims.map(claim => ({...claim, cost: Math.max(0, claim.cost)}));
		const repeated = await this.call({...request, claims, history: history.listPriorGrants(now())});
		if (repeated?.needsHistory !== false) {
			return undefined;
		}

		history.markReported(lastSequence);
		return repeated;
	}

	private createRequest(body: LimitRequestBody): LimitRequest {
		const {entry, history, now} = this.options;
		const localGrants = history.listUnreported(now());
		this.number += 1;
		return {
			...body, entry, number: this.number, ...(localGrants.length > 0 && {localGrants}),
		};
	}

	/** Calls the leader. An answer that arrives too late counts as none: this entry may have stood still, and other leaders may have granted since. */
	private async call(request: LimitRequest): Promise<LimitResponse | undefined> {
		const {client, readLeader, signal, now} = this.options;
		const address = readLeader();
		if (address === undefined) {
			return undefined;
		}

		const sentAt = now();
		const response = await client.call<LimitResponse>({
			address, path: '/limits', body: request, idleTimeoutMs: silenceTimeoutMs, signal,
		});
		return response.isOk() && now() - sentAt <= maxAnswerAgeMs ? response.value : undefined;
	}
}
