/**
 * Client of the leader, which counts limits for all entries. Repeats a request with this entry's grant history if the leader asks for it.
 */

import type {GrantHistory} from 'mastvalve-access';
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
export type LimitRequestBody = Omit<LimitRequest, 'entry' | 'history'>;

/** A request without claims, to find out whether a leader answers. */
export const emptyLimitRequest: LimitRequestBody = {
	claims: [], words: [], handovers: [], unused: [], released: [],
};

/** A leader is unreachable after this long without a byte, ms: a round trip within a region takes 3 ms, a planning pass up to 20 ms, and callers wait meanwhile. */
const silenceTimeoutMs = 150;
/** A call that fails within this time used a kept connection that the peer had closed, ms; calls to an unreachable peer take longer. */
const closedConnectionMs = 50;

export class LimitLeaderClient {
	constructor(private readonly options: LimitLeaderClientOptions) {}

	/** Sends a request; undefined when no leader answers. Retries once on a closed connection, since peers close kept ones now and then, and counting a claim twice is harmless. */
	async send(body: LimitRequestBody): Promise<LimitResponse | undefined> {
		const {entry, history, now} = this.options;
		const request: LimitRequest = {...body, entry};
		const sentAt = now();
		const firstResponse = await this.call(request);
		const isConnectionClosed = firstResponse === undefined && now() - sentAt < closedConnectionMs;
		const response = isConnectionClosed ? await this.call(request) : firstResponse;
		if (!response?.needsHistory) {
			return response;
		}

		const repeated = await this.call({...request, history: history.listPriorGrants(now())});
		return repeated?.needsHistory === false ? repeated : undefined;
	}

	private async call(request: LimitRequest): Promise<LimitResponse | undefined> {
		const {client, readLeader, signal} = this.options;
		const address = readLeader();
		if (address === undefined) {
			return undefined;
		}

		const response = await client.call<LimitResponse>({
			address, path: '/limits', body: request, idleTimeoutMs: silenceTimeoutMs, signal,
		});
		return response.isOk() ? response.value : undefined;
	}
}
