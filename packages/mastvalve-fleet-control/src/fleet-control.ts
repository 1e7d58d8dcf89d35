/**
 * One control instance of a fleet. Any instance takes any call; what must survive goes through the leader's log, and
 * what must be newest is confirmed by the leader's lease.
 */

import type {LimitTolerance} from 'mastvalve-access';
import {ControlGroup, type ControlGroupOptions, type PeerHandler} from 'mastvalve-cluster';
import {
	FleetCommandKind, FleetMachine, type CrashReport, type EndpointReport, type FleetCommand, type StatedConfiguration, takesRequests,
} from 'mastvalve-fleet';
import {ControlUnavailableError, UnknownEndpointError, type MastvalveError} from 'mastvalve-types';
import {
	assumeType, describeError, repeatUntilAborted, waitFor,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import type {ControlService} from './control-service.js';
import type {DemandResponse, DemandReport} from './demand-report.js';
import {EngineScheduler} from './engines/engine-scheduler.js';
import type {EnginePort} from './engines/engine-port.js';
import {FleetMaintenance} from './fleet-maintenance.js';
import {FollowService} from './follow-service.js';
import type {FollowRequest} from './follow.js';
import {createForwardedHandlers} from './forwarded-control.js';
import {LimitPublisher} from './limit-publisher.js';
import {LimitService, type LimitRequest} from './limit-service.js';
import {Liveness} from './liveness.js';
import {FreshnessTracker} from './freshness-tracker.js';

/** What a control instance is made from. */
export type FleetControlOptions = Omit<ControlGroupOptions, 'machine'> & {
	/** Time between two heartbeats of an endpoint, ms. */
	heartbeatMs: number;
	/** Time for which the orders of one holder keep another from ordering, ms. */
	orderLeaseMs: number;
	/** Window in which loads from the weight store are counted, ms. */
	storeWindowMs: number;
	/** Whether entries must prove how new their keys are. */
	mustProveKeys: boolean;
	/** How far what runs may exceed the limits of workspaces. */
	limitTolerance: LimitTolerance;
	/** Orders to engines. */
	engines: EnginePort;
};

const dutyPauseMs = 300;
const directPauseMs = 100;
/** An incomplete group takes the first changes after this long all the same, ms. */
const incompleteGraceMs = 5000;

/** One control instance. */
export class FleetControl implements ControlService {
	static async open(options: FleetControlOptions): Promise<FleetControl> {
		const waiting = {wake: () => undefined as void};
		const machine = new FleetMachine(() => {
			waiting.wake();
		});
		const control = new FleetControl(options, machine, await ControlGroup.open({...options, machine}));
		waiting.wake = () => {
			control.followers.wake();
		};

		return control;
	}

	readonly group: ControlGroup;
	private readonly liveness = new Liveness();
	private readonly duties: FleetMaintenance;
	private readonly followers: FollowService;
	private readonly ending = new AbortController();
	private readonly startedAt: number;
	private readonly director: EngineScheduler;
	private readonly sure: FreshnessTracker;
	private readonly limits: LimitService;
	private readonly limitPublisher: LimitPublisher;

	private constructor(private readonly options: FleetControlOptions, readonly machine: FleetMachine, group: ControlGroup) {
		this.group = group;
		this.startedAt = options.clock.now();
		this.sure = new FreshnessTracker({
			group,
			clock: options.clock,
			onError(thrown) {
				options.onError(`the leader could not be asked: ${describeError(thrown)}`);
			},
		});
		this.limits = new LimitService({
			tolerance: options.limitTolerance, readConfiguration: () => machine.configuration?.configuration, findEndpoint: id => machine.find(id), readTerm: () => (group.isLeading ? group.leadingTerm : undefined), now: () => options.clock.now(),
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
			machine, group, clock: options.clock, sure: this.sure, ending: this.ending.signal,
		});
		this.director = this.createDirector();
		this.duties = new FleetMaintenance({
			group,
			machine,
			liveness: this.liveness,
			clock: options.clock,
			heartbeatMs: options.heartbeatMs,
			propose: async command => this.propose(command),
			publishLimits: async () => this.limitPublisher.publish(),
			onEvent: options.onEvent,
		});
	}

	/** Calls of other processes of mastvalve. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			...this.group.handlers(),
			...createForwardedHandlers(this),
			['/follow', async (body, signal) => this.followers.follow(assumeType<FollowRequest>(body), signal)],
			['/demand', async body => {
				const report = assumeType<DemandReport>(body);
				this.director.recordReport(report);
				await this.markLeaving(report.leaving);
				const answer: DemandResponse = {entries: this.director.countActiveEntries()};
				return this.group.isLeading ? ok(answer) : err(new ControlUnavailableError('This control instance does not lead.'));
			}],
			['/limits', async body => {
				const answers = this.limits.answer(assumeType<LimitRequest>(body));
				this.limitPublisher.publish().catch((error: unknown) => {
					this.options.onError(`limits of endpoints were not recorded and will be: ${describeError(error)}`);
				});
				return answers ? ok(answers) : err(new ControlUnavailableError('This control instance does not lead.'));
			}],
			['/crashes', async body => this.takeCrashes(assumeType<CrashReport[]>(body))],
			['/heard', async body => {
				this.liveness.recordHeartbeats(assumeType<string[]>(body), this.options.clock.now());
				return ok(true);
			}],
		];
	}

	/** Takes part until it is stopped. */
	async run(): Promise<void> {
		const onError = (thrown: unknown) => {
			this.options.onError(`a duty failed and is tried again: ${describeError(thrown)}`);
		};

		await Promise.all([
			this.group.run(),
			...(this.options.mustProveKeys ? [this.sure.run(this.ending.signal)] : []),
			repeatUntilAborted(this.ending.signal, dutyPauseMs, async () => this.duties.runRound(), onError),
			repeatUntilAborted(this.ending.signal, directPauseMs, async () => this.director.runRound(), onError),
		]);
	}

	/** Hands leadership over, so that a planned stop costs no election. */
	async transferLeadership(): Promise<void> {
		await this.group.handOver();
	}

	/** Stops; hands over before. */
	async stop(): Promise<void> {
		await this.transferLeadership();
		this.ending.abort();
		this.followers.wake();
		await this.group.stop();
	}

	/** Puts a configuration in force, unless one at least as new is; the result is the version held. */
	async configure(stated: StatedConfiguration): Promise<Result<number, MastvalveError>> {
		const held = this.machine.configuration?.configuration.version;
		const isYoung = this.options.clock.now() - this.startedAt < incompleteGraceMs;
		if (held === undefined && isYoung && !this.group.isComplete) {
			return err(new ControlUnavailableError('The control instances have not all found each other yet.'));
		}

		// What is applied here is committed; an older version changes nothing.
		if (held !== undefined && held >= stated.configuration.version) {
			return ok(held);
		}

		const askedAt = this.options.clock.now();
		const result = await this.propose({kind: FleetCommandKind.Configure, stated});
		const {version, routes} = stated.configuration;
		const outcome = result.isOk() ? `committed, version ${assumeType<number>(result.value)} is held` : `not known to be committed: ${result.error.message}`;
		this.options.onEvent('configuration.stated', `version ${version}, ${routes.length} routes, ${stated.source.length} bytes: ${outcome}; after ${Math.round(this.options.clock.now() - askedAt)} ms`);
		return result.map(held => assumeType<number>(held));
	}

	/** The newest configuration; an error when this instance can't be sure of it. */
	async readConfiguration(): Promise<Result<StatedConfiguration | undefined, MastvalveError>> {
		const fresh = await this.group.readFresh();
		return fresh.map(() => this.machine.configuration);
	}

	/** Takes a heartbeat. It is acknowledged once all that is new in it is committed. */
	async report(report: EndpointReport): Promise<Result<true, MastvalveError>> {
		if (this.group.isCurrent && !this.machine.acceptsReport(report)) {
			this.options.onEvent('endpoint.refused', `${report.id} at ${report.address}: a later incarnation is known, or no configuration names the service ${report.service}`);
			return err(new UnknownEndpointError(report.id));
		}

		this.liveness.recordHeartbeats([report.id], this.options.clock.now());
		if (this.group.isCurrent && !this.machine.changesState(report)) {
			return ok(true);
		}

		this.options.onEvent('endpoint.reported', `${report.id} ${report.failureDomain} ${report.isLeaving ? 'leaves' : 'is ready'}; holds ${report.holds.map(({name}) => name).join(', ') || 'nothing'}; in memory ${report.inMemory.join(', ')}; on disk ${report.onDisk.join(', ')}`);
		const result = await this.propose({kind: FleetCommandKind.Report, report});
		return result.map(() => true as const);
	}

	/** An endpoint leaves for good. It is acknowledged once that is committed. */
	async leave(id: string): Promise<Result<true, MastvalveError>> {
		const result = await this.propose({kind: FleetCommandKind.Leave, id});
		return result.map(() => true as const);
	}

	/** Takes an entry's word of endpoints that crashed. It is acknowledged once it is committed: the count must outlive a leader. */
	private async takeCrashes(reports: CrashReport[]): Promise<Result<true, MastvalveError>> {
		const result = await this.propose({kind: FleetCommandKind.RecordCrashes, reports});
		if (result.isOk()) {
			const quarantined = assumeType<string[]>(result.value);
			const crashed = reports.map(({endpointId, fingerprints}) => `${endpointId} under ${fingerprints.length} requests`).join(', ');
			this.options.onEvent('endpoint.crashed', `${crashed}; quarantined: ${quarantined.join(', ') || 'none'}`);
		}

		return result.map(() => true as const);
	}

	/** Records that endpoints are leaving. Entries repeat what could not be committed with their next reports. */
	private async markLeaving(reported: readonly string[]): Promise<void> {
		const ids = reported.filter(id => {
			const endpoint = this.machine.find(id);
			return endpoint && takesRequests(endpoint);
		});
		if (ids.length === 0) {
			return;
		}

		const result = await this.propose({kind: FleetCommandKind.MarkLeaving, ids});
		this.options.onEvent('endpoint.leaving', `${ids.join(', ')}: their answers say so; ${result.isOk() ? 'recorded' : `not recorded yet: ${result.error.message}`}`);
	}

	private createDirector(): EngineScheduler {
		const {options, machine, group} = this;
		return new EngineScheduler({
			machine,
			clock: options.clock,
			wait: waitFor,
			port: options.engines,
			holder: options.address,
			readTerm: () => (this.ending.signal.aborted ? undefined : group.leadingTerm),
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
			onEvent: options.onEvent,
		});
	}

	private async propose(command: FleetCommand): Promise<Result<unknown, MastvalveError>> {
		return this.group.propose(command);
	}
}
