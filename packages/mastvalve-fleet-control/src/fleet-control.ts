/**
 * One control instance of a fleet. Every instance accepts every call; durable changes are committed to the leader's log, and
 * reads of the newest state are confirmed by the leader's lease.
 */

import type {LimitTolerance} from 'mastvalve-access';
import {ControlGroup, type ControlGroupOptions, type PeerHandler} from 'mastvalve-cluster';
import {
	FleetCommandKind, FleetMachine, type CrashReport, type EndpointReport, type FleetCommand, type StatedConfiguration, type SuccessReport, takesRequests,
} from 'mastvalve-fleet';
import {ControlUnavailableError, UnknownEndpointError, type MastvalveError} from 'mastvalve-types';
import {
	assumeType, describeError, repeatUntilAborted, waitFor,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {ControlService} from './control-service.js';
import {CrashService} from './crash-service.js';
import {CrashVerdicts} from './crash-verdicts.js';
import type {DemandResponse, DemandReport} from './demand-report.js';
import {DispatchService, type DispatchRequest} from './dispatch-service.js';
import {EngineScheduler} from './engines/engine-scheduler.js';
import type {EnginePort} from './engines/engine-port.js';
import {FleetMaintenance} from './fleet-maintenance.js';
import {FollowService} from './follow-service.js';
import type {FollowRequest} from './follow.js';
import {createForwardedHandlers} from './forwarded-control.js';
import {LimitPublisher} from './limit-publisher.js';
import {EntryCount} from './entry-count.js';
import {LimitService, type LimitRequest} from './limit-service.js';
import {Liveness} from './liveness.js';
import {FreshnessTracker} from './freshness-tracker.js';
import {StreamOriginService, type StreamOriginRequest} from './stream-origin-service.js';

export type FleetControlOptions = Omit<ControlGroupOptions, 'machine'> & {
	/** Time between two heartbeats of an endpoint, ms. */
	heartbeatMs: number;
	/** Time after an order during which another holder may not send orders to the same engine, ms. */
	orderLeaseMs: number;
	/** Window over which loads from the weight store are counted, ms. */
	storeWindowMs: number;
	/** Whether entries must prove the freshness of their keys. */
	mustProveKeys: boolean;
	/** How far running requests may exceed the limits of workspaces. */
	limitTolerance: LimitTolerance;
	/** Port through which orders are sent to engines. */
	engines: EnginePort;
};

const maintenanceIntervalMs = 300;
const schedulingIntervalMs = 100;
/** Time after which an incomplete group accepts the first configuration all the same, ms. */
const incompleteGraceMs = 5000;

/** Returns the answer to a call that only the leader answers; undefined stands for an instance that doesn't lead. */
const toLeaderAnswer = <T>(answer: T | undefined): Result<T, MastvalveError> =>
	(answer === undefined ? err(new ControlUnavailableError('This control instance does not lead.')) : ok(answer));

export class FleetControl implements ControlService {
	static async open(options: FleetControlOptions): Promise<FleetControl> {
		const listener = {wake: () => undefined as void};
		const machine = new FleetMachine(() => {
			listener.wake();
		});
		const control = new FleetControl(options, machine, await ControlGroup.open({...options, machine}));
		listener.wake = () => {
			control.followers.wake();
		};

		return control;
	}

	readonly group: ControlGroup;
	readonly dispatch: DispatchService;
	readonly streamOrigins: StreamOriginService;
	private readonly liveness = new Liveness();
	private readonly crashVerdicts = new CrashVerdicts();
	private readonly maintenance: FleetMaintenance;
	private readonly followers: FollowService;
	private readonly shutdown = new AbortController();
	private readonly startedAt: number;
	private readonly scheduler: EngineScheduler;
	private readonly freshness: FreshnessTracker;
	private readonly limits: LimitService;
	private readonly entryCount = new EntryCount();
	private readonly crashes: CrashService;
	private readonly limitPublisher: LimitPublisher;

	private constructor(private readonly options: FleetControlOptions, readonly machine: FleetMachine, group: ControlGroup) {
		this.group = group;
		this.startedAt = options.clock.now();
		this.freshness = new FreshnessTracker({
			group,
			clock: options.clock,
			onError(thrown) {
				options.onError(`query of the leader failed: ${describeError(thrown)}`);
			},
		});
		this.limits = new LimitService({
			tolerance: options.limitTolerance,
			readConfiguration: () => machine.configuration?.configuration,
			findEndpoint: id => machine.find(id),
			readTerm: () => (group.isLeading ? group.leadingTerm : undefined),
			recordedGrants: {read: workspace => machine.readRecordedGrants(workspace), listWorkspaces: () => machine.listGrantedWorkspaces()},
			propose: async command => {
				const recorded = await this.propose(command);
				return recorded.isOk();
			},
			wait: waitFor,
			now: () => options.clock.now(),
		});
		this.dispatch = new DispatchService({
			machine, readTerm: () => (group.isLeading ? group.leadingTerm : undefined), now: () => options.clock.now(),
		});
		this.streamOrigins = new StreamOriginService({
			machine, readTerm: () => (group.isLeading ? group.leadingTerm : undefined), now: () => options.clock.now(), wall: () => options.clock.wall(),
		});
		this.crashes = new CrashService({
			machine,
			isLeading: () => group.isLeading,
			onReported: ids => {
				this.crashVerdicts.recordReports(ids, options.clock.now());
			},
			propose: async command => this.propose(command),
			onEvent: options.onEvent,
		});
		this.limitPublisher = new LimitPublisher({
			listChanged: () => this.limits.listChanged(),
			propose: async command => {
				const recorded = await this.propose(command);
				return recorded.isOk();
			},
			onEvent: options.onEvent,
			now: () => options.clock.now(),
		});
		this.followers = new FollowService({
			machine, group, clock: options.clock, freshness: this.freshness, shutdownSignal: this.shutdown.signal,
		});
		this.scheduler = this.createScheduler();
		this.maintenance = new FleetMaintenance({
			group,
			machine,
			liveness: this.liveness,
			crashVerdicts: this.crashVerdicts,
			clock: options.clock,
			heartbeatMs: options.heartbeatMs,
			propose: async command => this.propose(command),
			publishLimits: async () => this.recordLimits(),
			onEvent: options.onEvent,
		});
	}

	/** Returns the handlers of calls by other mastvalve processes. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			...this.group.handlers(),
			...createForwardedHandlers(this),
			['/follow', async (body, signal) => this.followers.follow(assumeType<FollowRequest>(body), signal)],
			['/demand', async body => {
				const report = assumeType<DemandReport>(body);
				this.scheduler.recordReport(report);
				await this.markLeaving(report.leaving);
				return toLeaderAnswer(this.countEntries(report));
			}],
			['/limits', async body => {
				const answers = await this.limits.answer(assumeType<LimitRequest>(body));
				this.recordLimits().catch((error: unknown) => {
					this.options.onError(`recording limits failed; retrying: ${describeError(error)}`);
				});
				return toLeaderAnswer(answers);
			}],
			['/dispatch', async body => toLeaderAnswer(this.dispatch.answer(assumeType<DispatchRequest>(body)))],
			['/streams', async body => toLeaderAnswer(this.streamOrigins.answer(assumeType<StreamOriginRequest>(body)))],
			['/crashes', async body => this.crashes.recordCrashes(assumeType<CrashReport[]>(body))],
			['/successes', async body => this.crashes.recordSuccesses(assumeType<SuccessReport[]>(body))],
			['/heard', async body => {
				this.recordHeartbeats(assumeType<string[]>(body));
				return ok(true);
			}],
		];
	}

	/** Runs until it is stopped. */
	async run(): Promise<void> {
		const onError = (thrown: unknown) => {
			this.options.onError(`a periodic task failed; retrying: ${describeError(thrown)}`);
		};

		await Promise.all([
			this.group.run(),
			...(this.options.mustProveKeys ? [this.freshness.run(this.shutdown.signal)] : []),
			repeatUntilAborted(this.shutdown.signal, maintenanceIntervalMs, async () => this.maintenance.runRound(), onError),
			repeatUntilAborted(this.shutdown.signal, schedulingIntervalMs, async () => this.scheduler.runRound(), onError),
		]);
	}

	/** Transfers leadership, so that a planned stop causes no election. */
	async transferLeadership(): Promise<void> {
		await this.group.transferLeadership();
	}

	/** Transfers leadership, then stops. */
	async stop(): Promise<void> {
		await this.transferLeadership();
		this.shutdown.abort();
		this.followers.wake();
		await this.group.stop();
	}

	/** Puts a configuration in force, unless its version is not newer than the current one; returns the version in force. */
	async configure(stated: StatedConfiguration): Promise<Result<number, MastvalveError>> {
		const current = this.machine.configuration?.configuration.version;
		const isWithinGrace = this.options.clock.now() - this.startedAt < incompleteGraceMs;
		if (current === undefined && isWithinGrace && !this.group.hasAllVoters) {
			return err(new ControlUnavailableError('The control instances have not all found each other yet.'));
		}

		// Applied configurations are committed, and a version that is not newer changes nothing.
		if (current !== undefined && current >= stated.configuration.version) {
			return ok(current);
		}

		const startedAt = this.options.clock.now();
		const result = await this.propose({kind: FleetCommandKind.Configure, stated});
		const {version, routes} = stated.configuration;
		const outcome = result.isOk() ? `committed; version ${assumeType<number>(result.value)} is in force` : `outcome unknown: ${result.error.message}`;
		this.options.onEvent('configuration.stated', `version ${version}, ${routes.length} routes, ${stated.source.length} bytes: ${outcome}; after ${Math.round(this.options.clock.now() - startedAt)} ms`);
		return result.map(inForce => assumeType<number>(inForce));
	}

	/** Returns the newest configuration; an error if this instance can't confirm that it is the newest. */
	async readConfiguration(): Promise<Result<StatedConfiguration | undefined, MastvalveError>> {
		const fresh = await this.group.waitUntilFresh();
		return fresh.map(() => this.machine.configuration);
	}

	/** Records a heartbeat. It is acknowledged once all changes that it reports are committed. */
	async report(report: EndpointReport): Promise<Result<true, MastvalveError>> {
		if (this.group.isCurrent && !this.machine.acceptsReport(report)) {
			this.options.onEvent('endpoint.refused', `${report.id} at ${report.address}: a later incarnation is known, or no configuration declares the service ${report.service}`);
			return err(new UnknownEndpointError(report.id));
		}

		this.recordHeartbeats([report.id]);
		if (this.group.isCurrent && !this.machine.changesState(report)) {
			return ok(true);
		}

		this.options.onEvent('endpoint.reported', `${report.id} ${report.failureDomain} ${report.isLeaving ? 'leaves' : 'is ready'}; holds ${report.holds.map(({name}) => name).join(', ') || 'nothing'}; in memory ${report.inMemory.join(', ')}; on disk ${report.onDisk.join(', ')}`);
		const result = await this.propose({kind: FleetCommandKind.Report, report});
		return result.map(() => true as const);
	}

	/** Records that an endpoint leaves permanently. It is acknowledged once committed. */
	async leave(id: string): Promise<Result<true, MastvalveError>> {
		const result = await this.propose({kind: FleetCommandKind.Leave, id});
		return result.map(() => true as const);
	}

	private recordHeartbeats(ids: readonly string[]): void {
		const now = this.options.clock.now();
		this.liveness.recordHeartbeats(ids, now);
		this.crashVerdicts.recordHeartbeats(ids, now);
	}

	/** Counts the entries, of which one reports now; undefined if another instance may lead. */
	private countEntries(report: DemandReport): DemandResponse | undefined {
		const {isLeading, leadingTerm} = this.group;
		if (!isLeading || leadingTerm === undefined) {
			return undefined;
		}

		const now = this.options.clock.now();
		this.entryCount.record(report, leadingTerm, now);
		return {entries: this.entryCount.count(now)};
	}

	/** Records the limits of endpoints and the grants to workspaces that are due. */
	private async recordLimits(): Promise<void> {
		await Promise.all([this.limitPublisher.publish(), this.limits.recordGrants()]);
	}

	/** Records that endpoints are leaving. Entries repeat reports that were not committed. */
	private async markLeaving(reported: readonly string[]): Promise<void> {
		const ids = reported.filter(id => {
			const endpoint = this.machine.find(id);
			return endpoint && takesRequests(endpoint);
		});
		if (ids.length === 0) {
			return;
		}

		const result = await this.propose({kind: FleetCommandKind.MarkLeaving, ids});
		this.options.onEvent('endpoint.leaving', `${ids.join(', ')}: announced in their responses; ${result.isOk() ? 'recorded' : `not recorded yet: ${result.error.message}`}`);
	}

	private createScheduler(): EngineScheduler {
		const {options, machine, group} = this;
		return new EngineScheduler({
			machine,
			clock: options.clock,
			wait: waitFor,
			port: options.engines,
			holder: options.address,
			readTerm: () => (this.shutdown.signal.aborted ? undefined : group.leadingTerm),
			claim: async () => {
				const former = await this.propose({kind: FleetCommandKind.ClaimOrders, holder: options.address});
				return former.isOk() ? assumeType<string>(former.value) : undefined;
			},
			publish: async holdings => {
				const recorded = await this.propose({kind: FleetCommandKind.RecordHoldings, holdings});
				return recorded.isOk();
			},
			orderLeaseMs: options.orderLeaseMs,
			storeWindowMs: options.storeWindowMs,
			workOf: service => this.dispatch.listWork(service),
			speedOf: engine => this.dispatch.speedOf(engine),
			onEvent: options.onEvent,
		});
	}

	private async propose(command: FleetCommand): Promise<Result<unknown, MastvalveError>> {
		return this.group.propose(command);
	}
}
