/**
 * Many entries, a leader that counts, and endpoints that name limits, in virtual time. The parts that decide are the real ones; calls
 * and requests are passed on by hand, late and in any order.
 */

import {PeerError} from 'mastvalve-cluster';
import {
	LimitPublisher, LimitService, type LimitResponse, type LimitRequest,
} from 'mastvalve-fleet-control';
import {FleetCommandKind, type FleetCommand, type FleetEndpoint} from 'mastvalve-fleet';
import {
	LimitHeaderKind, TokenBucket, parseLimitHeader, type LimitTimestamp,
} from 'mastvalve-limits';
import {assumeType, createRandom, type Random} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {VirtualTime} from '../../../../features/support/virtual-time.js';
import {
	EndpointTracker, EndpointLimiter, LimitClient, type PermitOutcome, type PermitRequest,
} from '../../src/index.js';
import {createEndpoint} from './running-gateway.js';

/** What is broken in the entries. */
export enum LimitFault {
	None = 'none',
	/** Each entry keeps to the limit by what it sends itself. */
	EachForItself = 'each-for-itself',
	/** Every answer counts as one to a request that was let through just now. */
	AnyAnswerEnds = 'any-answer-ends',
	/** What an entry has heard is told to nobody. */
	Untold = 'untold',
	/** The reservations of callers that leave are not released. */
	KeepsReservations = 'keeps-reservations',
	/** A request that comes for its turn asks as if it held no reservation. */
	ForgetsReservations = 'forgets-reservations',
}

/** What a fleet is made from. */
export type LimitedFleetOptions = {
	entries: number;
	endpoints: number;
	/** Part of the requests that come through the first entry. */
	firstShare: number;
	fault: LimitFault;
	/** The longest time of an answer, ms. */
	maxAnswerMs?: number;
	/** Part of the callers that leave within 2 s if they wait so long. */
	leaveShare?: number;
	seed: number;
};

/** A call to the leader takes this long, ms; longer with none that answers. */
const callMs = 3;
const silenceMs = 150;
/** News of the log reach entries within this time, ms. */
const newsMs = 60;
/** A request is at its endpoint after this long, and its answer takes this long at the least, ms. */
const wayMs = 2;
const minAnswerMs = 30;
/** The longest time of an answer, where a test asks for none, ms. */
const usualAnswerMs = 900;
const dutyMs = 300;
/** An entry that has passed on a limit keeps to it after this long, ms. */
const toldMs = 500;
/** A refused request can wait for so long, ms. */
const patienceMs = 4000;
const maxStayMs = 2000;

type Entry = {isCut: boolean; board: EndpointTracker; limiter: EndpointLimiter; view: Map<string, FleetEndpoint>; buckets: Map<string, TokenBucket>; ending: AbortController; told: Map<string, {namedAt: number; at: number}>};
/** `isTold` says whether its entry had passed on an answer that names the present limit, long enough before. */
type Arrival = {at: number; urgency: number; isTold: boolean};
type VirtualEndpoint = {id: string; word: string | undefined; namedAt: number; arrivals: Arrival[]};

/** The fleet. */
export class LimitedFleet {
	readonly time = new VirtualTime();
	/** Requests that were refused without any wait, and those that got no permit although they had waited. */
	refusedAtOnce = 0;
	refusedLate = 0;
	/** Calls to the leader. */
	calls = 0;
	private readonly random: Random;
	private readonly endpoints: VirtualEndpoint[];
	private readonly entries: Entry[];
	/** What the log tells. */
	private readonly recorded = new Map<string, FleetEndpoint>();
	private leader: LimitService | undefined;
	private publisher: LimitPublisher | undefined;
	private term = 0;
	private isOver = false;

	constructor(private readonly options: LimitedFleetOptions) {
		this.random = createRandom(options.seed);
		this.endpoints = Array.from({length: options.endpoints}, (_, index) => ({
			id: `e${index}`, word: undefined, namedAt: 0, arrivals: [],
		}));
		this.endpoints.forEach(({id}) => {
			this.recorded.set(id, createEndpoint(id));
		});
		this.elect();
		this.entries = Array.from({length: options.entries}, (_, index) => this.createEntry(index));
		void this.carryOutDuties();
	}

	/** Another leader counts from now on. */
	elect(): void {
		this.term += 1;
		const {term} = this;
		const now = (): number => this.time.clock.now();
		this.leader = new LimitService({
			tolerance: {windowMs: 8000, overage: 0, slack: 0}, readConfiguration: () => undefined, findEndpoint: id => this.recorded.get(id), readTerm: () => term, now,
		});
		const service = this.leader;
		this.publisher = new LimitPublisher({
			listChanged: () => service.listChanged(), propose: async command => this.record(command), onEvent: () => undefined, now,
		});
	}

	/** No leader answers any more. */
	loseLeader(): void {
		this.leader = undefined;
		this.publisher = undefined;
	}

	/** Some of the entries reach nobody of control. */
	cut(share: number, isCut: boolean): void {
		this.entries.slice(0, Math.round(share * this.entries.length)).forEach(entry => {
			entry.isCut = isCut;
		});
	}

	/** An entry ends, and another one begins in its place. */
	restart(index: number): void {
		this.entries[index]!.ending.abort();
		this.entries[index] = this.createEntry(index);
	}

	/** From now on an endpoint names this. */
	name(index: number, word: string | undefined): void {
		const endpoint = this.endpoints[index]!;
		endpoint.word = word;
		endpoint.namedAt = this.time.clock.now();
	}

	/** What an endpoint names. */
	wordOf(index: number): string | undefined {
		return this.endpoints[index]?.word;
	}

	/** Requests come for some time, at random moments; a part of them is urgent. */
	async load(perSecond: number, ms: number, urgentShare = 1): Promise<void> {
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

	/** The most requests that an endpoint got within `spanMs`, from `afterMs` after its last word. */
	countMost(index: number, spanMs: number, afterMs: number): number {
		const {namedAt} = this.endpoints[index]!;
		const times = this.listArrivals(index, namedAt + afterMs).map(({at}) => at);
		return Math.max(0, ...times.map(from => times.filter(at => at >= from && at <= from + spanMs).length));
	}

	/** The same of entries that had been told the limit. */
	countMostTold(index: number, spanMs: number): number {
		const {namedAt} = this.endpoints[index]!;
		const times = this.listArrivals(index, namedAt).filter(({isTold}) => isTold).map(({at}) => at);
		return Math.max(0, ...times.map(from => times.filter(at => at >= from && at <= from + spanMs).length));
	}

	/** Requests that an endpoint got from a moment on. */
	listArrivals(index: number, fromMs: number): Arrival[] {
		return this.endpoints[index]!.arrivals.filter(({at}) => at >= fromMs);
	}

	close(): void {
		this.isOver = true;
		this.entries.forEach(({ending}) => {
			ending.abort();
		});
	}

	private createEntry(index: number): Entry {
		const now = (): number => this.time.clock.now();
		const ending = new AbortController();
		const board = new EndpointTracker(now);
		const view = new Map(this.recorded);
		const client = new LimitClient({
			entry: `entry ${index} ${this.random()}`,
			client: {call: async ({body}) => this.call(entry, assumeType<LimitRequest>(body))},
			readLeader: () => 'leader',
			readEntryCount: () => this.options.entries,
			random: this.random,
			now,
			windowMs: 8000,
			signal: ending.signal,
			wait: async ms => this.time.wait(ms),
			onEvent: () => undefined,
		});
		const limiter = new EndpointLimiter({
			view: {find: id => view.get(id)}, board, client, now,
		});
		const entry: Entry = {
			isCut: false, board, limiter, view, buckets: new Map(), ending, told: new Map(),
		};
		return entry;
	}

	private async call<T>(entry: Entry, question: LimitRequest): Promise<Result<T, PeerError>> {
		this.calls += 1;
		await this.time.wait(callMs / 2);
		const asked = this.options.fault === LimitFault.Untold ? {...question, words: []} : question;
		const answers: LimitResponse | undefined = entry.isCut ? undefined : this.leader?.answer(asked);
		void this.publisher?.publish();
		await this.time.wait(answers ? callMs / 2 : silenceMs);
		return answers ? ok(assumeType<T>(answers)) : err(new PeerError('leader', '/limits', 'no answer'));
	}

	private async record(command: FleetCommand): Promise<boolean> {
		if (command.kind === FleetCommandKind.RecordLimits) {
			command.limits.forEach(({endpoint, perSecond}) => {
				this.recorded.set(endpoint, createEndpoint(endpoint, {limitPerSecond: perSecond}));
			});
			this.entries.forEach(entry => {
				void this.tellNews(entry);
			});
		}

		return true;
	}

	private async tellNews(entry: Entry): Promise<void> {
		await this.time.wait(this.random() * newsMs);
		if (!entry.isCut) {
			this.recorded.forEach((endpoint, id) => {
				entry.view.set(id, endpoint);
			});
		}
	}

	private async carryOutDuties(): Promise<void> {
		while (!this.isOver) {
			// eslint-disable-next-line no-await-in-loop
			await this.time.wait(dutyMs);
			void this.publisher?.publish();
			this.entries.forEach(entry => {
				void this.tellNews(entry);
			});
		}
	}

	/** One request: claims a permit at any endpoint, and waits for its turn where there is none. */
	private async serve(entry: Entry, urgency: number): Promise<void> {
		const endAt = this.time.clock.now() + patienceMs;
		const shuffled = this.endpoints.map(endpoint => ({endpoint, key: this.random()})).toSorted((a, b) => a.key - b.key).map(({endpoint}) => endpoint);
		const leavesAt = this.random() < (this.options.leaveShare ?? 0) ? this.time.clock.now() + (this.random() * maxStayMs) : Number.POSITIVE_INFINITY;
		let reservation: string | undefined;
		let hasWaited = false;
		while (!entry.ending.signal.aborted) {
			const maxWaitMs = endAt - this.time.clock.now();
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.claim(entry, shuffled, {urgency, maxWaitMs, reservation: this.options.fault === LimitFault.ForgetsReservations ? undefined : reservation});
			const endpoint = shuffled.find(({id}) => id === outcome.endpoint);
			if (endpoint) {
				this.handOver(entry, endpoint, urgency, outcome.grantedAt);
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
			await this.time.wait(Math.min(outcome.waitMs, leavesAt - this.time.clock.now()));
			if (this.time.clock.now() >= leavesAt) {
				this.leave(entry, reservation);
				return;
			}
		}
	}

	private leave(entry: Entry, reservation: string | undefined): void {
		if (reservation !== undefined && this.options.fault !== LimitFault.KeepsReservations) {
			entry.limiter.releaseReservation(reservation);
		}
	}

	private async claim(entry: Entry, endpoints: readonly VirtualEndpoint[], wish: PermitRequest): Promise<PermitOutcome> {
		if (this.options.fault === LimitFault.EachForItself) {
			return this.claimByItself(entry, endpoints[0]!.id);
		}

		return entry.limiter.claim(endpoints.map(({id}) => entry.view.get(id) ?? createEndpoint(id)), wish);
	}

	private claimByItself(entry: Entry, id: string): PermitOutcome {
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

	private handOver(entry: Entry, endpoint: VirtualEndpoint, urgency: number, grantedAt: LimitTimestamp | undefined): void {
		void (async () => {
			await this.time.wait(wayMs);
			const told = entry.told.get(endpoint.id);
			const at = this.time.clock.now();
			endpoint.arrivals.push({at, urgency, isTold: told?.namedAt === endpoint.namedAt && at - told.at >= toldMs});
			const {namedAt} = endpoint;
			const word = parseLimitHeader(endpoint.word);
			await this.time.wait(minAnswerMs + (this.random() * ((this.options.maxAnswerMs ?? usualAnswerMs) - minAnswerMs)));
			if ((entry.told.get(endpoint.id)?.namedAt ?? Number.NEGATIVE_INFINITY) < namedAt) {
				entry.told.set(endpoint.id, {namedAt, at: this.time.clock.now()});
			}

			const isUnheard = word.kind === LimitHeaderKind.Absent && this.options.fault === LimitFault.AnyAnswerEnds;
			const toldAt = isUnheard ? {term: this.term, number: Number.MAX_SAFE_INTEGER} : grantedAt;
			entry.limiter.recordReportedLimit(entry.view.get(endpoint.id) ?? createEndpoint(endpoint.id), word, toldAt);
		})();
	}
}
