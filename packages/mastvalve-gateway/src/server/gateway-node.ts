/**
 * Composition root of an entry: serves callers, follows control, and reports demand and endpoint crashes to it.
 */

import type {PeerClient} from 'mastvalve-cluster';
import {isPartFingerprint, type CrashReport, type SuccessReport} from 'mastvalve-fleet';
import type {MastvalveError} from 'mastvalve-types';
import {waitFor, type Clock} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import {AccessChecker} from '../access/access-checker.js';
import type {Dialect} from '../dialect.js';
import {DispatchClient} from '../dispatch/dispatch-client.js';
import {DemandReporter} from '../fleet/demand-reporter.js';
import {FleetFollower} from '../fleet/fleet-follower.js';
import {FleetView} from '../fleet/fleet-view.js';
import {EndpointLimiter} from '../limits/endpoint-limiter.js';
import {LimitClient} from '../limits/limit-client.js';
import {createCrashReporter, createSuccessReporter} from '../quarantine/create-reporters.js';
import type {ControlReporter} from '../quarantine/control-reporter.js';
import {CrashDetector} from '../quarantine/crash-detector.js';
import {probeListener} from '../quarantine/probe-listener.js';
import {RequestQuarantine} from '../quarantine/request-quarantine.js';
import {CapacityWaiters} from '../requests/capacity-waiters.js';
import {EndpointTracker} from '../routing/endpoint-tracker.js';
import {forgetGoneEndpoints} from '../routing/forget-gone-endpoints.js';
import {FirstByteTimes} from '../routing/first-byte-times.js';
import {ModelDemand} from '../routing/model-demand.js';
import {ServiceRetryBudget, type RetryLimits} from '../routing/service-retry-budget.js';
import {StreamOrigins} from '../streams/stream-origins.js';
import {UpstreamAgent} from '../upstream/upstream-agent.js';
import type {AdmissionReading} from './connection-admission.js';
import type {LogDecision} from './gateway-core.js';
import type {GatewayObserver} from './gateway-observer.js';
import {Gateway} from './gateway.js';

export type GatewayNodeOptions = {
	/** Name of the instance. */
	instance: string;
	failureDomain: string;
	client: PeerClient;
	dialect: Dialect;
	clock: Clock;
	random: () => number;
	log: LogDecision;
	/** Lists configured addresses of control instances, in addition to those that responses have named. */
	listSources: () => string[];
	/** Distance to an address; lower is nearer. */
	distanceTo: (address: string) => number;
	retries: RetryLimits;
	/** Longest time for which a key may still be accepted after its revocation, ms; undefined for no bound. */
	keyRevocationMs: number | undefined;
	/** Accounting window of workspace limits, ms. */
	limitWindowMs: number;
	/** Whether callers compete for engines, so that the leader chooses the engine of each request. */
	hasContention: boolean;
	/** Returns how long the event loop that serves callers has been busy since the start of the process, ms. */
	readBusyMs: () => number;
};

export class GatewayNode {
	readonly view: FleetView;
	readonly follower: FleetFollower;
	private readonly access: AccessChecker;
	private readonly gateway: Gateway;
	private readonly reporter: DemandReporter;
	private readonly demand: ModelDemand;
	private readonly crashReporter: ControlReporter<CrashReport>;
	private readonly successReporter: ControlReporter<SuccessReport>;
	private readonly upstream = new UpstreamAgent();
	private readonly shutdown = new AbortController();

	constructor(options: GatewayNodeOptions) {
		const {
			instance, failureDomain, client, dialect, clock, random, log, listSources, distanceTo, retries, keyRevocationMs, limitWindowMs, hasContention, readBusyMs,
		} = options;
		const now = (): number => clock.now();
		const onEvent = (kind: string, detail: string): void => {
			log(kind, {detail});
		};

		this.view = new FleetView(now);
		this.access = new AccessChecker({
			view: this.view,
			clock,
			keyRevocationMs,
			onSuspended: () => {
				onEvent('keys.doubted', 'the monotonic clock has missed elapsed time, or the wall clock was set: requesting fresh key evidence from control');
				this.follower.restartRequest();
			},
		});
		this.follower = new FleetFollower({
			client,
			view: this.view,
			access: this.access,
			listSources,
			distanceTo,
			now,
			onEvent,
			onLeaderChange() {
				limits.informNewLeader();
				origins.informNewLeader();
			},
		});
		this.reporter = new DemandReporter(client, () => this.follower.leader);
		const firstByteTimes = new FirstByteTimes();
		this.demand = new ModelDemand(instance, now, () => {
			this.reporter.reportNow();
		}, firstByteTimes);
		const reporterOptions = {client, random, listTargets: () => this.listControl()};
		this.crashReporter = createCrashReporter(reporterOptions);
		this.successReporter = createSuccessReporter(reporterOptions);
		const quarantine = new RequestQuarantine(this.view, now, report => {
			this.successReporter.enqueue(report);
		});
		const waiters = new CapacityWaiters(clock);
		const tracker = new EndpointTracker(now, () => {
			waiters.wakeAll();
		});
		forgetGoneEndpoints(this.view, tracker, this.demand);
		const limits = new LimitClient({
			// The random suffix separates the claim history of this process from that of an earlier one.
			entry: `${instance} ${random()}`,
			client, readLeader: () => this.follower.leader, readEntryCount: () => this.reporter.entryCount, random, now, windowMs: limitWindowMs, signal: this.shutdown.signal, wait: waitFor, onEvent,
		});
		const origins = new StreamOrigins({
			entry: `${instance} ${random()}`, client, readLeader: () => this.follower.leader, view: this.view, clock, wait: waitFor, signal: this.shutdown.signal,
		});
		const dispatch = new DispatchClient({
			entry: `${instance} ${random()}`, client, readLeader: () => this.follower.leader, now, wait: waitFor, signal: this.shutdown.signal, onEvent, isAlwaysActive: hasContention,
		});
		this.gateway = new Gateway({
			failureDomain,
			clock,
			random,
			dialect,
			view: this.view,
			tracker,
			waiters,
			agent: this.upstream,
			access: this.access,
			limits,
			dispatch,
			origins,
			limiter: new EndpointLimiter({
				view: this.view, tracker, client: limits, now,
			}),
			retryBudget: new ServiceRetryBudget(retries, now, () => this.reporter.entryCount),
			firstByteTimes,
			demand: this.demand,
			quarantine,
			crashDetector: this.createCrashDetector(quarantine, tracker, now, log),
			log,
			readBusyMs,
		});
	}

	/** Whether load balancers may route callers to this entry. */
	get isReady(): boolean {
		return this.view.isSynced && this.access.canAuthorize && this.view.configuration !== undefined && !this.gateway.isDraining;
	}

	/** Number of callers' requests in flight. */
	get inFlight(): number {
		return this.gateway.inFlight;
	}

	/** What this entry measures of itself, and the rate at which it takes connections. */
	readAdmission(): AdmissionReading {
		return this.gateway.readAdmission();
	}

	/** Bytes held for answers that their callers do not read at the moment. */
	get unreadBytes(): number {
		return this.gateway.unreadBytes;
	}

	/** Bytes held of request bodies. */
	get heldBodyBytes(): number {
		return this.gateway.heldBodyBytes;
	}

	/** Replaces the observer; it receives the events of all later requests. */
	observe(observer: GatewayObserver): void {
		this.gateway.observe(observer);
	}

	/** Listens for callers on `ip:port` and starts to follow control. */
	async start(listen: string): Promise<Result<true, MastvalveError>> {
		const started = await this.gateway.start(listen);
		if (started.isOk()) {
			void this.follower.run(this.shutdown.signal);
			void this.reporter.run(this.demand, this.shutdown.signal);
			void this.crashReporter.run(this.shutdown.signal);
			void this.successReporter.run(this.shutdown.signal);
		}

		return started;
	}

	/** Accepts requests for another `acceptMs`, waits until none is in flight, then stops following control and closes connections to endpoints. */
	async stop(acceptMs: number): Promise<void> {
		await this.gateway.drain(acceptMs);
		this.shutdown.abort();
		this.upstream.destroy();
	}

	/** Lists the addresses of control instances, leader first, then by distance. */
	private listControl(): string[] {
		const {leader} = this.follower;
		return [...new Set([...(leader === undefined ? [] : [leader]), ...this.follower.listMembers()])];
	}

	private createCrashDetector(quarantine: RequestQuarantine, tracker: EndpointTracker, now: () => number, log: LogDecision): CrashDetector {
		const detector = new CrashDetector({
			now,
			probe: probeListener,
			isAlive: id => !this.view.hasAllEndpoints || this.view.hasEndpoint(id),
			onCrash: ({endpointId, ...inFlight}) => {
				const report = quarantine.createReport(endpointId, inFlight);
				log('endpoint.crashed', {endpoint: endpointId, fingerprints: inFlight.requests, parts: report.suspects?.filter(({fingerprint}) => isPartFingerprint(fingerprint))});
				quarantine.recordCrash(report);
				this.crashReporter.enqueue(report);
				tracker.recordNotListening(endpointId);
				this.demand.recordNotListening(endpointId);
			},
		});
		this.view.subscribe(() => {
			detector.reviewUndecided();
			quarantine.reviewSuspicions();
		});
		return detector;
	}
}
