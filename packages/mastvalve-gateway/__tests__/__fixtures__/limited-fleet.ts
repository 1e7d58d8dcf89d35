/**
 * Simulates many entries, a leader that counts permits, and endpoints that report limits, in virtual time. The decision code is the
 * real one; calls and requests are delivered by the simulation, late and in any order.
 */

import {PeerError} from 'mastvalve-cluster';
import {
	LimitPublisher, LimitService, type LimitResponse, type LimitRequest,
} from 'mastvalve-fleet-control';
import {FleetCommandKind, type FleetCommand, type FleetEndpoint} from 'mastvalve-fleet';
import {
	disconnectedRatio, LimitHeaderKind, TokenBucket, parseLimitHeader, type LimitTimestamp,
} from 'mastvalve-limits';
import {assumeType, createRandom, type Random} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {VirtualTime} from '../../../../features/support/virtual-time.js';
import {
	EndpointTracker, EndpointLimiter, LimitClient, type PermitOutcome, type PermitRequest,
} from '../../src/index.js';
import {createEndpoint} from './running-gateway.js';

/** Faults that entries can be given. */
export enum LimitFault {
	None = 'none',
	/** Each entry enforces the limit on its own requests only. */
	CountsLocally = 'each-for-itself',
	/** Every answer without a limit counts as the answer to a request with the newest permit. */
	AnyAnswerEndsLimit = 'any-answer-ends',
	/** Entries do not report received limits to the leader. */
	DropsReports = 'untold',
	/** Disconnected entries share whole limits. */
	SharesWhole = 'shares-whole',
	/** Reservations of callers that disconnect are not released. */
	KeepsReservations = 'keeps-reservations',
	/** A request claims again without its reservation. */
	ForgetsReservations = 'forgets-reservations',
}

export type LimitedFleetOptions = {
	entries: number;
	endpoints: number;
	/** Share of the requests that arrive at the first entry. */
	firstShare: number;
	fault: LimitFault;
	/** Longest duration of an answer, ms. */
	maxAnswerMs?: number;
	/** Share of the callers that disconnect within 2 s while they wait. */
	disconnectShare?: number;
	seed: number;
};

/** Duration of a call to the leader, ms, and of one that is not answered. */
const callDurationMs = 3;
const failedCallDurationMs = 150;
/** Longest delay until an entry receives what the log has recorded, ms. */
const maxReplicationDelayMs = 60;
/** Time until a request arrives at its endpoint, and shortest duration of its answer, ms. */
const requestDelayMs = 2;
const minAnswerMs = 30;
/** Default of the longest duration of an answer, ms. */
const defaultMaxAnswerMs = 900;
const periodicTaskIntervalMs = 300;
/** Time after which an entry must enforce a limit that it has received, ms. */
const enforceAfterMs = 500;
/** Longest time that a request waits for a permit, ms. */
const waitLimitMs = 4000;
const maxDisconnectDelayMs = 2000;

type Entry = {
	isDisconnected: boolean;
	tracker: EndpointTracker;
	limiter: EndpointLimiter;
	view: Map<string, FleetEndpoint>;
	buckets: Map<string, TokenBucket>;
	ending: AbortController;
	/** First answers with the current limits, by endpoint id; times in ms. */
	receivedLimits: Map<string, {limitSetAt: number; at: number}>;
};
/** `isInformed` is set when its entry had received the current limit at least `enforceAfterMs` before. */
type Arrival = {at: number; urgency: number; isInformed: boolean};
type VirtualEndpoint = {id: string; limitHeader: string | undefined; limitSetAt: number; arrivals: Arrival[]};

export class LimitedFleet {
	readonly time = new VirtualTime();
	/** Number of requests refused without waiting, and of those refused after waiting. */
	refusedAtOnce = 0;
	refusedLate = 0;
	/** Number of calls to the leader. */
	calls = 0;
	private readonly random: Random;
	private readonly endpoints: VirtualEndpoint[];
	private readonly entries: Entry[];
	/** Endpoints as recorded in the log. */
	private readonly recorded = new Map<string, FleetEndpoint>();
	private leader: LimitService | undefined;
	private publisher: LimitPublisher | undefined;
	private term = 0;
	private isClosed = false;

	constructor(private readonly options: LimitedFleetOptions) {
		this.random = createRandom(options.seed);
		this.endpoints = Array.from({length: options.endpoints}, (_, index) => ({
			id: `e${index}`, limitHeader: undefined, limitSetAt: 0, arrivals: [],
		}));
		this.endpoints.forEach(({id}) => {
			this.recorded.set(id, createEndpoint(id));
		});
		this.electLeader();
		this.entries = Array.from({length: options.entries}, (_, index) => this.createEntry(index));
		void this.runPeriodicTasks();
	}

	/** Elects a new leader, in the next term. */
	electLeader(): void {
		this.term += 1;
		const {term} = this;
		const now = (): number => this.time.clock.now();
		this.leader = new LimitService({
			tolerance: {windowMs: 8000, overage: 0, slack: 0}, readConfiguration: () => undefined, findEndpoint: id => this.recorded.get(id), readTerm: () => term, recordedGrants: {read: () => 0, listWorkspaces: () => []}, propose: async () => true, wait: this.time.wait, now,
		});
		const service = this.leader;
		this.publisher = new LimitPublisher({
			listChanged: () => service.listChanged(), propose: async command => this.record(command), onEvent: () => undefined, now,
		});
	}

	removeLeader(): void {
		this.leader = undefined;
		this.publisher = undefined;
	}

	/** Disconnects a share of the entries from control, or reconnects them. */
	setDisconnected(share: number, isDisconnected: boolean): void {
		this.entries.slice(0, Math.round(share * this.entries.length)).forEach(entry => {
			entry.isDisconnected = isDisconnected;
		});
	}

	/** Replaces an entry by a new one. */
	restart(index: number): void {
		this.entries[index]!.ending.abort();
		this.entries[index] = this.createEntry(index);
	}

	/** Sets the limit header of an endpoint; undefined for none. */
	setLimitHeader(index: number, limitHeader: string | undefined): void {
		const endpoint = this.endpoints[index]!;
		endpoint.limitHeader = limitHeader;
		endpoint.limitSetAt = this.time.clock.now();
	}

	getLimitHeader(index: number): string | undefined {
		return this.endpoints[index]?.limitHeader;
	}

	/** Sends requests at random times for a duration; a share of them is urgent. */
	async runLoad(perSecond: number, ms: number, urgentShare = 1): Promise<void> {
		const end = this.time.clock.now() + ms;
		const arrive = async (): Promise<void> => {
			while (this.time.clock.now() < end) {
				// eslint-disable-next-line no-await-in-loop
				await this.time.wait(-Math.log(1 - this.random()) * 1000 / perSecond);
				const index = this.random() < this.options.firstShare ? 0 : Math.floor(this.random() * this.entries.length);
				void this.serve(this.entries[index]!, this.random() < urgentShare ? 0 : 5);
			}
		};

		void arrive();
		await this.time.advance(ms);
	}

	/** Maximum number of requests to an endpoint within `spanMs`, from `afterMs` after its limit was last set. */
	countMaxWithin(index: number, spanMs: number, afterMs: number): number {
		const {limitSetAt} = this.endpoints[index]!;
		const times = this.listArrivals(index, limitSetAt + afterMs).map(({at}) => at);
		return Math.max(0, ...times.map(from => times.filter(at => at >= from && at <= from + spanMs).length));
	}

	/** Maximum number of requests to an endpoint within `spanMs` from entries that had received its limit. */
	countMaxFromInformedEntries(index: number, spanMs: number): number {
		const {limitSetAt} = this.endpoints[index]!;
		const times = this.listArrivals(index, limitSetAt).filter(({isInformed}) => isInformed).map(({at}) => at);
		return Math.max(0, ...times.map(from => times.filter(at => at >= from && at <= from + spanMs).length));
	}

	listArrivals(index: number, fromMs: number): Arrival[] {
		return this.endpoints[index]!.arrivals.filter(({at}) => at >= fromMs);
	}

	close(): void {
		this.isClosed = true;
		this.entries.forEach(({ending}) => {
			ending.abort();
		});
	}

	private createEntry(index: number): Entry {
		const now = (): number => this.time.clock.now();
		const ending = new AbortController();
		const tracker = new EndpointTracker(now);
		const view = new Map(this.recorded);
		const client = new LimitClient({
			entry: `entry ${index} ${this.random()}`,
			client: {call: async ({body}) => this.call(entry, assumeType<LimitRequest>(body))},
			readLeader: () => 'leader',
			readEntryCount: () => this.options.entries * (this.options.fault === LimitFault.SharesWhole ? disconnectedRatio : 1),
			random: this.random,
			now,
			windowMs: 8000,
			signal: ending.signal,
			wait: async ms => this.time.wait(ms),
			onEvent: () => undefined,
		});
		const limiter = new EndpointLimiter({
			view: {findEndpoint: id => view.get(id)}, tracker, client, now,
		});
		const entry: Entry = {
			isDisconnected: false, tracker, limiter, view, buckets: new Map(), ending, receivedLimits: new Map(),
		};
		return entry;
	}

	private async call<T>(entry: Entry, limitRequest: LimitRequest): Promise<Result<T, PeerError>> {
		this.calls += 1;
		await this.time.wait(callDurationMs / 2);
		const sentRequest = this.options.fault === LimitFault.DropsReports ? {...limitRequest, words: []} : limitRequest;
		const response: LimitResponse | undefined = entry.isDisconnected ? undefined : await this.leader?.answer(sentRequest);
		void this.publisher?.publish();
		await this.time.wait(response ? callDurationMs / 2 : failedCallDurationMs);
		return response ? ok(assumeType<T>(response)) : err(new PeerError('leader', '/limits', 'no answer'));
	}

	private async record(command: FleetCommand): Promise<boolean> {
		if (command.kind === FleetCommandKind.RecordLimits) {
			command.limits.forEach(({endpoint, perSecond}) => {
				this.recorded.set(endpoint, createEndpoint(endpoint, {limitPerSecond: perSecond}));
			});
			this.entries.forEach(entry => {
				void this.replicate(entry);
			});
		}

		return true;
	}

	private async replicate(entry: Entry): Promise<void> {
		await this.time.wait(this.random() * maxReplicationDelayMs);
		if (!entry.isDisconnected) {
			this.recorded.forEach((endpoint, id) => {
				entry.view.set(id, endpoint);
			});
		}
	}

	private async runPeriodicTasks(): Promise<void> {
		while (!this.isClosed) {
			// eslint-disable-next-line no-await-in-loop
			await this.time.wait(periodicTaskIntervalMs);
			void this.publisher?.publish();
			this.entries.forEach(entry => {
				void this.replicate(entry);
			});
		}
	}

	/** Serves one request: claims a permit at any endpoint, and waits for the reported time when there is none. */
	private async serve(entry: Entry, urgency: number): Promise<void> {
		const endAt = this.time.clock.now() + waitLimitMs;
		const shuffled = this.endpoints.map(endpoint => ({endpoint, key: this.random()})).toSorted((a, b) => a.key - b.key).map(({endpoint}) => endpoint);
		const disconnectsAt = this.random() < (this.options.disconnectShare ?? 0) ? this.time.clock.now() + (this.random() * maxDisconnectDelayMs) : Number.POSITIVE_INFINITY;
		let reservation: string | undefined;
		let hasWaited = false;
		while (!entry.ending.signal.aborted) {
			const maxWaitMs = endAt - this.time.clock.now();
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.claim(entry, shuffled, {urgency, maxWaitMs, reservation: this.options.fault === LimitFault.ForgetsReservations ? undefined : reservation});
			const endpoint = shuffled.find(({id}) => id === outcome.endpoint);
			if (endpoint) {
				this.dispatch(entry, endpoint, urgency, outcome.grantedAt);
				return;
			}

			if (outcome.waitMs > maxWaitMs) {
				this.refusedAtOnce += hasWaited ? 0 : 1;
				this.refusedLate += hasWaited ? 1 : 0;
				return;
			}

			reservation = outcome.reservation;
			hasWaited = true;
			// eslint-disable-next-line no-await-in-loop
			await this.time.wait(Math.min(outcome.waitMs, disconnectsAt - this.time.clock.now()));
			if (this.time.clock.now() >= disconnectsAt) {
				this.disconnect(entry, reservation);
				return;
			}
		}
	}

	private disconnect(entry: Entry, reservation: string | undefined): void {
		if (reservation !== undefined && this.options.fault !== LimitFault.KeepsReservations) {
			entry.limiter.releaseReservation(reservation);
		}
	}

	private async claim(entry: Entry, endpoints: readonly VirtualEndpoint[], permitRequest: PermitRequest): Promise<PermitOutcome> {
		if (this.options.fault === LimitFault.CountsLocally) {
			return this.claimLocally(entry, endpoints[0]!.id);
		}

		return entry.limiter.claim(endpoints.map(({id}) => entry.view.get(id) ?? createEndpoint(id)), permitRequest);
	}

	private claimLocally(entry: Entry, id: string): PermitOutcome {
		const now = this.time.clock.now();
		const perSecond = entry.limiter.findLimit(createEndpoint(id));
		const bucket = entry.buckets.get(id) ?? new TokenBucket(perSecond ?? 1, now, 1);
		entry.buckets.set(id, bucket);
		const waitMs = perSecond === undefined ? 0 : bucket.computeWaitMs(now);
		if (waitMs === 0) {
			bucket.takePermit();
		}

		return {
			endpoint: waitMs === 0 ? id : undefined, waitMs, reservation: undefined, grantedAt: undefined,
		};
	}

	private dispatch(entry: Entry, endpoint: VirtualEndpoint, urgency: number, grantedAt: LimitTimestamp | undefined): void {
		void (async () => {
			await this.time.wait(requestDelayMs);
			const received = entry.receivedLimits.get(endpoint.id);
			const at = this.time.clock.now();
			endpoint.arrivals.push({at, urgency, isInformed: received?.limitSetAt === endpoint.limitSetAt && at - received.at >= enforceAfterMs});
			const {limitSetAt} = endpoint;
			const limit = parseLimitHeader(endpoint.limitHeader);
			await this.time.wait(minAnswerMs + (this.random() * ((this.options.maxAnswerMs ?? defaultMaxAnswerMs) - minAnswerMs)));
			if ((entry.receivedLimits.get(endpoint.id)?.limitSetAt ?? Number.NEGATIVE_INFINITY) < limitSetAt) {
				entry.receivedLimits.set(endpoint.id, {limitSetAt, at: this.time.clock.now()});
			}

			const endsLimit = limit.kind === LimitHeaderKind.Absent && this.options.fault === LimitFault.AnyAnswerEndsLimit;
			const permitTimestamp = endsLimit ? {term: this.term, number: Number.MAX_SAFE_INTEGER} : grantedAt;
			entry.limiter.recordReportedLimit(entry.view.get(endpoint.id) ?? createEndpoint(endpoint.id), limit, permitTimestamp);
		})();
	}
}
