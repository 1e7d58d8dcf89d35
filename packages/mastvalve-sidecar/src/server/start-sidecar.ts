/**
 * The sidecar program: the only way to one endpoint.
 */

import {randomUUID} from 'node:crypto';
import {ConfigurationStore} from 'mastvalve-configuration';
import {
	createApp, createFaultReporter, registerGauge, startServer, UpstreamClient, type ProgramContext, type RunningServer,
} from 'mastvalve-http';
import type {Settings, SidecarInstance} from 'mastvalve-settings';
import {EndpointState, type Endpoint, type MastvalveError} from 'mastvalve-types';
import {
	callUntilAborted, describeError, repeatUntilAborted, waitFor,
} from 'mastvalve-utils';
import type {Result} from 'neverthrow';
import {EngineClient, StatusTooLargeError} from '../engine/engine-client.js';
import {EngineKeeper} from '../engine/engine-keeper.js';
import {ClaimGuard} from './claim-guard.js';
import {createDispatchAgent} from './dispatch.js';
import {EndpointGate} from './endpoint-gate.js';
import {EndpointReporter} from './endpoint-reporter.js';
import {createForwardHandler} from './forward-handler.js';

/** Options of a sidecar program. */
export type StartSidecarOptions = {
	context: ProgramContext;
	settings: Settings;
	instance: SidecarInstance;
	/** URLs of the upstreams, in order of preference. */
	upstreamUrls: string[];
};

/** A running program. */
export type RunningSidecar = {address: string; drain: () => Promise<void>};

const keeperPauseMs = 100;
/** The engine's status is read this often when there is nothing to do, ms. */
const settledPauseMs = 2000;
const gatePauseMs = 20;
const reportPauseMs = 250;
const joinPauseMs = 200;
const leaveAnnounceMs = 200;
/** Longest wait for control to record that the endpoint leaves, ms; the bound for a configuration to be in force. */
const maxLeaveMs = 4000;
/** Time for the recorded leaving to reach all entries, ms. */
const leaveSpreadMs = 500;

/** Starts a sidecar. */
export const startSidecar = async (options: StartSidecarOptions): Promise<Result<RunningSidecar, MastvalveError>> => new SidecarProgram(options).start();

/** One running sidecar. */
class SidecarProgram {
	private readonly ending = new AbortController();
	private readonly store = new ConfigurationStore();
	private readonly upstream: UpstreamClient;
	private readonly keeper: EngineKeeper;
	private readonly gate: EndpointGate;
	private readonly reporter: EndpointReporter;
	private readonly processId = randomUUID();
	private claims: ClaimGuard | undefined;
	private endpoint: Endpoint | undefined;
	private isDraining = false;
	private isSynced = false;
	private lastRoundAt = 0;
	private readonly isPlain: boolean;
	private address = '';

	constructor(private readonly options: StartSidecarOptions) {
		const {context, instance, upstreamUrls} = options;
		this.isPlain = instance.capacity === 0;
		this.upstream = new UpstreamClient(upstreamUrls, context.hybridClock);
		this.gate = new EndpointGate({
			clock: context.clock,
			maxRunning: instance.maxRunning,
			maxQueued: instance.maxQueued,
			isReady: model => this.isReady(model),
		});
		this.keeper = new EngineKeeper({
			context,
			client: new EngineClient(instance.endpointUrl),
			capacity: instance.capacity,
			fenced: instance.fenced,
			use: {
				listWaitingModels: () => this.gate.queue.listWaitingModels(),
				isBusy: model => this.gate.isBusy(model),
				lastUsedAt: model => this.gate.lastUsedAt(model),
			},
			onChange: () => {
				this.gate.advance();
				void this.reporter.report();
			},
		});
		this.reporter = new EndpointReporter({
			clock: context.clock,
			upstream: this.upstream,
			ledger: this.keeper.ledger,
			queue: this.gate.queue,
			readEndpoint: () => (this.isSynced ? this.endpoint : undefined),
			isLeaving: () => this.isDraining,
		});
	}

	async start(): Promise<Result<RunningSidecar, MastvalveError>> {
		const {context, instance, settings} = this.options;
		const app = createApp(context, () => this.readReadiness());
		app.all('/forward/*', createForwardHandler({
			context,
			gate: this.gate,
			agent: createDispatchAgent(instance.maxRunning),
			endpointUrl: instance.endpointUrl,
			endpointId: instance.name,
			isEngine: !this.isPlain,
			maxBodyBytes: settings.policy.maxBodyBytes,
			readEndpoint: () => this.endpoint,
			isLeaving: () => this.isDraining || this.isLeaving(),
			mayHold: model => this.isPlain || this.keeper.isAssigned(model ?? '') || this.keeper.isReady(model ?? ''),
			acceptClaim: claim => this.claims?.accept(claim) ?? false,
		}));
		const server = await startServer(app, instance.listen, {onFault: createFaultReporter(context)});
		return server.map(running => {
			this.address = `http://${running.address}`;
			this.registerMetrics();
			context.timeline.record('program.started', `sidecar of ${instance.service} listens on ${running.address}`);
			void this.run();
			return {address: running.address, drain: async () => this.drain(running)};
		});
	}

	private async run(): Promise<void> {
		const {signal} = this.ending;
		const onError = (thrown: unknown) => {
			// An engine that restarts fails rounds; one that sends without end is in trouble.
			const level = thrown instanceof StatusTooLargeError ? 'warn' : 'debug';
			this.options.context.logger[level](`a round failed and is tried again: ${describeError(thrown)}`);
		};

		this.store.subscribe(() => {
			this.takeConfiguration();
		});
		callUntilAborted(signal, gatePauseMs, () => {
			this.gate.advance();
		});
		await Promise.all([
			this.upstream.follow(this.store, signal, message => {
				this.options.context.logger.warn(`following the configuration failed and is tried again: ${message}`);
			}),
			this.joinUpstream().then(async () => Promise.all([
				this.isPlain ? undefined : repeatUntilAborted(signal, keeperPauseMs, async () => this.keepEngine(), onError),
				repeatUntilAborted(signal, reportPauseMs, async () => this.reporter.report(), onError),
			])),
		]);
	}

	/** Joins with the newest configuration: nothing is done before both are known. */
	private async joinUpstream(): Promise<void> {
		const {context, instance} = this.options;
		const {signal} = this.ending;
		while (!this.isSynced && !signal.aborted) {
			// Each try rests on fresh answers.
			// eslint-disable-next-line no-await-in-loop
			const joined = await this.upstream.join({
				id: instance.name,
				service: instance.service,
				failureDomain: instance.failureDomain,
				address: this.address,
				capacity: instance.capacity,
				processId: this.processId,
			});
			if (joined.isErr()) {
				context.logger.warn(`joining failed and is tried again: ${joined.error.message}`);
				// eslint-disable-next-line no-await-in-loop
				await waitFor(joinPauseMs, signal);
				continue;
			}

			this.endpoint = joined.value;
			this.claims = new ClaimGuard(joined.value.incarnation);
			context.timeline.record('endpoint.joined', `${instance.name} joined as incarnation ${joined.value.incarnation}`);
			// eslint-disable-next-line no-await-in-loop
			await this.store.waitForUpdateAfter(joined.value.incarnation - 1, signal);
			this.isSynced = true;
			this.takeConfiguration();
		}
	}

	private takeConfiguration(): void {
		const {current} = this.store;
		if (current && this.endpoint && this.isSynced) {
			this.keeper.configure(current, this.endpoint);
			this.gate.advance();
		}
	}

	private async keepEngine(): Promise<void> {
		const now = this.options.context.clock.now();
		const isDue = this.keeper.hasWork || now - this.lastRoundAt >= settledPauseMs;
		if (this.endpoint && this.isSynced && isDue) {
			this.lastRoundAt = now;
			await this.keeper.runRound(this.endpoint);
		}
	}

	private isReady(model: string | undefined): boolean {
		return this.isSynced && (this.isPlain || this.keeper.isReady(model ?? ''));
	}

	/** Whether the configuration says that this incarnation leaves. */
	private isLeaving(): boolean {
		const known = this.store.current?.endpoints[this.options.instance.name];
		return known !== undefined && known.incarnation === this.endpoint?.incarnation && known.state !== EndpointState.Live;
	}

	private readReadiness(): string | undefined {
		if (!this.isSynced) {
			return 'has not joined yet';
		}

		if (this.isDraining) {
			return 'leaving';
		}

		return this.isPlain || this.keeper.ledger.isKnown ? undefined : 'the engine has not told its state yet';
	}

	private async drain(server: RunningServer): Promise<void> {
		const {context} = this.options;
		this.isDraining = true;
		context.timeline.record('program.draining', 'sidecar takes no new work and finishes what it has');
		await Promise.race([this.reporter.report(), waitFor(leaveAnnounceMs)]);
		// Whoever hasn't heard of it yet is refused as not run, rather than cut off by a closed connection.
		await this.waitUntilLeavingIsKnown();
		await this.gate.waitUntilIdle();
		this.ending.abort();
		await server.drain();
		context.timeline.record('program.stopped', 'sidecar has stopped');
	}

	private async waitUntilLeavingIsKnown(): Promise<void> {
		const endAt = this.options.context.clock.now() + maxLeaveMs;
		while (!this.isLeaving() && this.options.context.clock.now() < endAt) {
			// eslint-disable-next-line no-await-in-loop
			await waitFor(reportPauseMs);
		}

		await waitFor(leaveSpreadMs);
	}

	private registerMetrics(): void {
		const {registry} = this.options.context;
		const {gate, keeper} = this;
		registerGauge(registry, 'mastvalve_running', 'Requests that the endpoint runs', () => gate.queue.runningCount);
		registerGauge(registry, 'mastvalve_configuration_revision', 'Revision in force', () => this.store.revision);
		registerGauge(registry, 'mastvalve_queued', 'Requests that wait for the endpoint', () => gate.queue.queuedCount);
		registerGauge(registry, 'mastvalve_memory_committed', 'Accelerator memory that is taken or may be', () => keeper.ledger.committed);
	}
}
