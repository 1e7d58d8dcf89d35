/**
 * Runs a gateway in the test process, with a dialect of the headers `x-id`, `x-left`, `x-model` and `x-not-run`, among others.
 */

import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {connect} from 'node:net';
import {parsePresentedKey, wholeShare, type Workspace} from 'mastvalve-access';
import {PeerError} from 'mastvalve-cluster';
import type {LimitRequest, StreamOriginRequest} from 'mastvalve-fleet-control';
import {
	ConfigurationChangeKind, EndpointPhase, ReleaseProof, RouteKind,
	type ProvedRelease, type ConfigurationChange, type ConfigurationFrame, type ExpectedLoad, type FleetEndpoint, type Route,
} from 'mastvalve-fleet';
import {parseLimitHeader, parseRetryAfter} from 'mastvalve-limits';
import {
	assumeType, createRandom, systemClock, waitFor,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {findFreePorts} from '../../../../features/support/free-ports.js';
import {
	AccessChecker, CapacityWaiters, CrashDetector, DispatchClient, EndpointTracker, FieldOwner, FleetView, EndpointLimiter, Gateway, FirstByteTimes, LimitClient, ModelDemand, probeListener, RequestQuarantine, ServiceRetryBudget, StreamOrigins, UpstreamAgent, type Dialect, type DispatchClientOptions, type ReportedLoad,
} from '../../src/index.js';

const textOf = (value: string | string[] | undefined): string | undefined => (Array.isArray(value) ? value[0] : value);

/** Reads the running and the waiting requests and the slots of an endpoint. */
const parseLoad = (text: string | undefined): ReportedLoad | undefined => {
	const [running, waiting, slots] = (text ?? '').split(',').map(Number);
	return running === undefined || waiting === undefined || slots === undefined ? undefined : {running, waiting, slots};
};

export const testDialect: Dialect = {
	parseCallerHeaders: headers => ({
		requestId: textOf(headers['x-id']),
		remainingMs: Number(textOf(headers['x-left']) ?? 5000),
		model: textOf(headers['x-model']),
		adapter: undefined,
		promptTokens: 0,
		maxOutputTokens: Number(textOf(headers['x-max-tokens']) ?? 0),
		expectedOutputTokens: 0,
		promptParts: (textOf(headers['x-parts']) ?? '').split(',').filter(Boolean).map(id => ({id, tokens: 100})),
		declaredTokens: undefined,
		resumeAfter: textOf(headers['x-resume']),
		startedBy: textOf(headers['x-started-by']),
	}),
	fieldOwners: new Map([['x-resume', FieldOwner.Entry], ['x-workspace', FieldOwner.Entry], ['content-length', FieldOwner.Entry], ['authorization', FieldOwner.Credentials]]),
	readKey: rawHeaders => parsePresentedKey(rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]?.toLowerCase() === 'authorization')),
	buildEndpointHeaders: ({resumeAfter, workspace, copyFrom, bodyLength}) => [
		...(workspace === undefined ? [] : ['x-workspace', workspace]),
		...(copyFrom === undefined ? [] : ['x-copy-from', copyFrom]),
		...(resumeAfter === undefined ? [] : ['x-resume', resumeAfter]),
		...(bodyLength === undefined ? [] : ['content-length', String(bodyLength)]),
	],
	parseAnswerHeaders: (_status, headers, rawHeaders) => ({
		requestId: textOf(headers['x-id']), endpointName: textOf(headers['x-endpoint']), isNotRun: headers['x-not-run'] !== undefined, isMisdirected: headers['x-misdirected'] !== undefined, load: parseLoad(textOf(headers['x-load'])), limit: parseLimitHeader(textOf(headers['x-limit'])), retryAfter: parseRetryAfter(rawHeaders.filter((_, index) => rawHeaders[index - 1]?.toLowerCase() === 'retry-after')), isLeaving: headers['x-leaving'] === '1',
	}),
};

const createRoute = (name: string, kind: RouteKind, timeoutMs: number): Route => ({
	name, host: 'h', pathPrefix: `/${name}/`, kind, timeoutMs, objectiveMs: 100, patienceMs: undefined, priority: 1, targets: [{service: 's', weight: 1}], maxAttempts: 2, isResumable: kind === RouteKind.Stream, isAnonymous: name === 'open',
});

/** One route of each kind, and special ones; the path prefix of each is its name. */
const routes: Route[] = [
	...[RouteKind.Safe, RouteKind.Unsafe, RouteKind.Stream].map(kind => createRoute(kind, kind, 2000)),
	createRoute('patient', RouteKind.Safe, 60_000),
	createRoute('open', RouteKind.Safe, 2000),
	{...createRoute('draft', RouteKind.Stream, 10_000), isResumable: false},
	{...createRoute('digest', RouteKind.Safe, 60_000), objectiveMs: 8000},
];

/** Creates an endpoint in the phase `Ready`. */
export const createEndpoint = (id: string, more: Partial<FleetEndpoint> = {}): FleetEndpoint => ({
	id, sequence: 1, service: 's', address: '', failureDomain: 'a', release: '', slots: 4, isLeaving: false, remainingMs: undefined, holds: [], inMemory: [], onDisk: [], phase: EndpointPhase.Ready, retiring: undefined, loading: undefined, isOrdering: false, orderedAt: 0, revision: 0, ...more,
});

/** Answer to a caller; `isWhole` is set when it is complete. Status 0 without an answer. */
export type Received = {status: number; body: string; isWhole: boolean; headers: Record<string, string | string[] | undefined>};

/** Sizes in bytes; undefined for those of the product, or 1000 for one body. */
export type RunningGatewayOptions = {maxBodyBytes?: number; maxUnreadBytes?: number; maxHeldBodyBytes?: number; /** Dispatch client's options; without, no leader chooses engines. */ dispatch?: DispatchClientOptions};

export class RunningGateway {
	readonly view = new FleetView(() => systemClock.now());
	readonly logged: string[] = [];
	/** Endpoints for which failures were recorded. */
	readonly failures: string[] = [];
	/** Log lines with their fields, as JSON. */
	readonly lines: string[] = [];
	/** Clock of the entry; tests move its wall time. */
	readonly clock = {now: () => systemClock.now(), wall: () => systemClock.wall() + this.suspendedMs};
	/** Time by which the wall clock is ahead of the monotonic one after suspensions, ms. */
	suspendedMs = 0;
	/** Wait time in the leader's response to each claim, ms; undefined while no leader answers. */
	limitWaitMs: number | undefined = 0;
	/** Claimed costs; refunds are negative. */
	readonly claimed: number[] = [];
	/** Time after which the leader answers a claim, ms. */
	claimDelayMs = 0;
	/** Wait time in the leader's response to permit claims, ms; 0 grants them. */
	permitWaitMs = 0;
	/** Number of permit claims that the leader received. */
	permitClaims = 0;
	/** Reservations that were released. */
	readonly released: Array<{reservation: string; at: number}> = [];
	/** Endpoints whose permits were returned unused. */
	readonly returned: string[] = [];
	/** Releases of the endpoints set from now on, in their order; empty for those that are missing. */
	releases: string[] = [];
	/** Limit of all endpoints set from now on, requests per second. */
	limitPerSecond: number | undefined;
	readonly access = new AccessChecker({
		view: this.view, clock: this.clock, keyRevocationMs: 5000, onSuspended: () => undefined,
	});

	/** Duration of the longest call, ms. */
	longestMs = 0;
	readonly gateway: Gateway;
	readonly firstByteTimes = new FirstByteTimes();
	readonly tracker: EndpointTracker;
	readonly demand = new ModelDemand('entry', () => systemClock.now(), () => undefined, this.firstByteTimes);
	private readonly agent = new Agent({keepAlive: true});
	private readonly upstream = new UpstreamAgent();
	private readonly ending = new AbortController();
	private workspaces: Workspace[] | undefined;
	private address = '';
	private requests = 0;

	constructor(private readonly options: RunningGatewayOptions = {}) {
		const now = (): number => systemClock.now();
		const quarantine = new RequestQuarantine(this.view, now);
		const waiters = new CapacityWaiters(systemClock);
		const tracker = new EndpointTracker(now, () => {
			waiters.wakeAll();
		});
		this.tracker = tracker;
		const recordFailure = tracker.recordFailure.bind(tracker);
		tracker.recordFailure = id => {
			this.failures.push(id);
			recordFailure(id);
		};

		const limits = new LimitClient({
			entry: 'entry',
			client: {call: async ({body}) => this.answerClaims(body)}, readLeader: () => 'leader', readEntryCount: () => 1, random: createRandom(1), now, windowMs: 8000, signal: this.ending.signal, wait: waitFor, onEvent: () => undefined,
		});
		const {maxUnreadBytes, maxHeldBodyBytes} = options;
		this.gateway = new Gateway({
			memoryLimits: {...(maxUnreadBytes === undefined ? {} : {maxUnreadBytes}), ...(maxHeldBodyBytes === undefined ? {} : {maxHeldBodyBytes})},
			failureDomain: 'a',
			clock: systemClock,
			random: createRandom(1),
			dialect: testDialect,
			view: this.view,
			tracker,
			waiters,
			agent: this.upstream,
			access: this.access,
			limits,
			dispatch: new DispatchClient(options.dispatch ?? {
				entry: 'entry', client: {call: async ({address, path}) => err(new PeerError(address, path, 'no leader'))}, readLeader: () => undefined, now, wait: waitFor, signal: this.ending.signal, onEvent: () => undefined, isAlwaysActive: false,
			}),
			origins: new StreamOrigins({
				entry: 'entry', client: {call: async ({body}) => this.answerOrigins(body)}, readLeader: () => 'leader', view: this.view, clock: this.clock, wait: waitFor, signal: this.ending.signal,
			}),
			limiter: new EndpointLimiter({
				view: this.view, tracker, client: limits, now,
			}),
			retryBudget: new ServiceRetryBudget({ratio: 1, slack: 5, windowMs: 10_000}, now, () => 1),
			firstByteTimes: this.firstByteTimes,
			demand: this.demand,
			quarantine,
			crashDetector: new CrashDetector({
				now,
				probe: probeListener,
				isAlive: () => true,
				onCrash({endpointId, ...inFlight}) {
					quarantine.recordCrash(quarantine.createReport(endpointId, inFlight));
				},
			}),
			log: (kind, fields) => {
				this.logged.push(kind);
				this.lines.push(JSON.stringify({kind, ...fields}));
			},
			// The loop is busy with callers and endpoints too, so it tells nothing of the entry.
			readBusyMs: () => 0,
		});
	}

	/** Sets the workspaces, confirmed by control `ageMs` ago. */
	setWorkspaces(workspaces: Workspace[] | undefined, ageMs = 0): void {
		this.workspaces = workspaces;
		this.access.recordAnswer(systemClock.now(), -ageMs);
	}

	async start(addresses: readonly string[]): Promise<void> {
		await this.listen();
		this.setEndpoints(addresses);
	}

	/** Listens without any endpoint. */
	async listen(): Promise<void> {
		const [port] = await findFreePorts(1);
		this.address = `127.0.0.1:${port}`;
		const started = await this.gateway.start(this.address);
		started._unsafeUnwrap();
	}

	/** Sets endpoints that all hold the same models. */
	setEndpoints(addresses: readonly string[], models: readonly string[] = ['m'], loading?: ExpectedLoad): void {
		this.setHoldings(addresses, addresses.map(() => models), loading);
	}

	/** Sets endpoints with the models of each. */
	setHoldings(addresses: readonly string[], holdings: ReadonlyArray<readonly string[]>, loading?: ExpectedLoad): void {
		const revision = this.view.revision + 1;
		const cursor = {revision, key: '', begunAt: revision};
		const frame: ConfigurationFrame = {
			needsKeys: this.workspaces !== undefined,
			services: [{
				name: 's', healthPath: '/', maxConnections: 10, engine: {
					slots: 4, tokenCapacity: 1000, weightCapacity: 100, adapterSlots: 1, storeLoadsPerSecond: 1, models: [{
						name: 'rare', size: 1, storeLoadMs: 9000, diskLoadMs: 2000, memoryLoadMs: 800, adapterCount: 0, adapterSize: 0,
					}],
				},
			}], limits: {
				maxHeaderBytes: 16_384, maxBodyBytes: this.options.maxBodyBytes ?? 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
		};
		const changes: ConfigurationChange[] = [
			{kind: ConfigurationChangeKind.Frame, frame},
			...routes.map((route): ConfigurationChange => ({kind: ConfigurationChangeKind.Route, route})),
			...(this.workspaces ?? []).map((workspace): ConfigurationChange => ({kind: ConfigurationChangeKind.Workspace, workspace})),
			{kind: ConfigurationChangeKind.Version, version: revision + 1},
		];
		const endpoints = addresses.map((address, index): FleetEndpoint => createEndpoint(`e${index}`, {
			address, failureDomain: index === 0 ? 'a' : 'b', release: this.releases[index] ?? '', holds: (holdings[index] ?? []).map(name => ({name, adapters: []})), loading, revision, ...(this.limitPerSecond === undefined ? {} : {limitPerSecond: this.limitPerSecond}),
		}));
		this.view.apply({
			revision,
			configuration: {
				isWhole: true, changes, cursor, isLast: true,
			},
			endpoints: {
				isWhole: true, changes: endpoints, cursor, isLast: true,
			},
			quarantine: {
				isWhole: true, changes: [], cursor, isLast: true,
			},
		}, true);
	}

	/** `ip:port` on which callers reach the gateway. */
	get listenAddress(): string {
		return this.address;
	}

	/** Opens a connection on which requests can be pipelined. One that begins without reading holds no bytes of its own. */
	connect(isReading = true): {send: (path: string, headers?: string) => void; readText: () => string; stopReading: () => void; startReading: () => void; disconnect: () => void} {
		const [host, port] = this.address.split(':');
		const socket = connect(Number(port), host);
		let received = '';
		const read = (chunk: Uint8Array): void => {
			received += Buffer.from(chunk).toString();
		};

		socket.on('error', () => undefined);
		if (isReading) {
			socket.on('data', read);
		} else {
			socket.pause();
		}

		return {
			send: (path, headers = '') => {
				this.requests += 1;
				socket.write(`POST ${path} HTTP/1.1\r\nhost: h\r\nx-id: r${this.requests}\r\n${headers}content-length: 0\r\n\r\n`);
			},
			readText: () => received,
			stopReading() {
				socket.pause();
			},
			startReading() {
				socket.off('data', read);
				socket.on('data', read);
				socket.resume();
			},
			disconnect() {
				socket.resetAndDestroy();
			},
		};
	}

	/** Sends a request over a new connection. */
	async callAnew(path: string): Promise<Received> {
		return this.call(path, {agent: false});
	}

	/** Sends a request and waits for the end of its answer. */
	async call(path: string, options: {method?: string; body?: string; headers?: Record<string, string>; agent?: false} = {}): Promise<Received> {
		this.requests += 1;
		const [host, port] = this.address.split(':');
		const startedAt = systemClock.now();
		return new Promise<Received>(resolve => {
			const req = request({
				host, port, path, agent: options.agent ?? this.agent, method: options.method ?? 'POST', headers: {host: 'h', 'x-id': `r${this.requests}`, ...options.headers},
			}, res => {
				let body = '';
				const done = (isWhole: boolean): void => {
					resolve({
						status: res.statusCode ?? 0, body, isWhole, headers: res.headers,
					});
				};

				res.on('data', (chunk: Uint8Array) => {
					body += Buffer.from(chunk).toString();
				});
				res.on('error', () => undefined);
				res.once('end', () => {
					done(res.complete);
				});
				res.once('close', () => {
					done(false);
				});
			});
			req.once('error', () => {
				resolve({
					status: 0, body: '', isWhole: false, headers: {},
				});
			});
			req.end(options.body);
		}).finally(() => {
			this.longestMs = Math.max(this.longestMs, systemClock.now() - startedAt);
		});
	}

	async stop(): Promise<void> {
		this.ending.abort();
		this.agent.destroy();
		await this.gateway.drain(0);
		this.upstream.destroy();
	}

	/** Answers as a leader that knows all endpoints as current, and no origins of other entries. */
	private async answerOrigins(body: unknown): Promise<Result<never, PeerError>> {
		const {questions, targets} = assumeType<StreamOriginRequest>(body);
		const answers: ProvedRelease[] = questions.map(() => ({proof: ReleaseProof.None, reason: 'not recorded'}));
		return ok(assumeType<never>({
			term: 1, needsAll: false, answers, confirmed: targets,
		}));
	}

	private async answerClaims(body: unknown): Promise<Result<never, PeerError>> {
		const {claims, handovers, released, unused} = assumeType<LimitRequest>(body);
		this.returned.push(...unused);
		this.claimed.push(...claims.map(({cost}) => cost));
		this.released.push(...released.map(reservation => ({reservation, at: systemClock.now()})));
		this.permitClaims += handovers.length;
		await waitFor(this.claimDelayMs);
		const isGranted = this.permitWaitMs === 0;
		return this.limitWaitMs === undefined
			? err(new PeerError('leader', '/limits', 'no answer'))
			: ok(assumeType<never>({
				needsHistory: false,
				busy: [],
				// Share of one of 27 entries.
				excess: {term: 1, number: 1, parts: Math.ceil(wholeShare / 27)},
				waitMs: claims.map(({cost}) => (cost < 0 ? 0 : this.limitWaitMs)),
				grants: handovers.map(({endpoints}) => ({endpoint: isGranted ? endpoints[0] : undefined, waitMs: this.permitWaitMs, reservation: isGranted ? undefined : 'reserved'})),
				grantedAt: {term: 1, number: 1},
			}));
	}
}
