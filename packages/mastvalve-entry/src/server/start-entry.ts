/**
 * The entry program: callers' side of mastvalve. It holds nothing that must survive; any entry serves any caller.
 */

import {ConfigurationStore} from 'mastvalve-configuration';
import {ControlClient} from 'mastvalve-control';
import {
	createApp, createFaultReporter, createUpstreamRouter, mountRouter, registerGauge, startServer, UpstreamClient, type ProgramContext, type RunningServer, type UpstreamHandlers,
} from 'mastvalve-http';
import {RetryBudget} from 'mastvalve-routing';
import {Program, type EntryInstance, type Settings} from 'mastvalve-settings';
import {
	ControlUnavailableError, RefusedError, type EndpointReport, type MastvalveError,
} from 'mastvalve-types';
import {
	createDeadlineSignal, describeError, repeatUntilAborted, waitFor,
} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {Counter} from 'prom-client';
import {Agent} from 'undici';
import {EndpointTable} from '../routing/endpoint-table.js';
import {answerError, type RouteScope} from './answer.js';
import type {EntryCore} from './entry-core.js';
import {addModelRoutes} from './model-routes.js';
import {chooseRequestId} from './read-request.js';
import {ReportFilter} from './report-filter.js';
import {addServiceRoutes} from './service-routes.js';

/** Options of an entry program. */
export type StartEntryOptions = {
	context: ProgramContext;
	settings: Settings;
	instance: EntryInstance;
	/** URLs of the upstreams, in order of preference. */
	upstreamUrls: string[];
};

/** A running program. */
export type RunningEntry = {address: string; drain: () => Promise<void>};

const demandPauseMs = 5000;
/** Reports without any demand that still go out, so that the estimate falls. */
const maxQuietReports = 12;
const millisPerSecond = 1000;
const syncPauseMs = 200;
const maxFollowWaitMs = 30_000;
const connectionsPerSidecar = 256;
/** Bytes of one call of sidecars; a report has some kilobytes. */
const maxRpcBytes = 1_048_576;

/** Starts an entry. */
export const startEntry = async (options: StartEntryOptions): Promise<Result<RunningEntry, MastvalveError>> => new EntryProgram(options).start();

/** One running entry. */
class EntryProgram {
	private readonly ending = new AbortController();
	private readonly store = new ConfigurationStore();
	private readonly upstream: UpstreamClient;
	private readonly core: EntryCore;
	private readonly reports = new ReportFilter();
	private inFlight = 0;
	private quietReports = 0;
	private isSynced = false;
	private isDraining = false;

	constructor(private readonly options: StartEntryOptions) {
		const {context, settings, upstreamUrls} = options;
		this.upstream = new UpstreamClient(upstreamUrls, context.hybridClock);
		const attempts = new Counter({
			name: 'mastvalve_attempts_total', help: 'Attempts at endpoints', labelNames: ['kind'], registers: [context.registry],
		});
		this.core = {
			context,
			policy: settings.policy,
			store: this.store,
			table: new EndpointTable(context.clock),
			budget: new RetryBudget(settings.policy.retryShare),
			agent: new Agent({
				connections: connectionsPerSidecar, keepAliveTimeout: 30_000, connect: {timeout: 1000}, headersTimeout: 0, bodyTimeout: 0,
			}),
			control: new ControlClient(
				settings.instances.filter(other => other.program === Program.Control).map(other => ({name: other.name, url: `http://${other.listen}`})),
				context.hybridClock,
			),
			random: Math.random,
			demand: new Map(),
			openStreams: 0,
			countAttempt(isRetry) {
				attempts.inc({kind: isRetry ? 'retry' : 'first'});
			},
		};
	}

	async start(): Promise<Result<RunningEntry, MastvalveError>> {
		const {context, instance} = this.options;
		const app = createApp(context, () => this.readReadiness());
		mountRouter(app, createUpstreamRouter(this.createUpstreamHandlers()), {maxBytes: maxRpcBytes});
		const scope: RouteScope = async (c, serve) => this.runInScope(chooseRequestId(c), serve);
		addModelRoutes(app, this.core, scope);
		addServiceRoutes(app, this.core, scope);
		const server = await startServer(app, instance.listen, {onFault: createFaultReporter(context)});
		return server.map(running => {
			this.registerMetrics();
			context.timeline.record('program.started', `entry listens on ${running.address}`);
			void this.run();
			return {address: running.address, drain: async () => this.drain(running)};
		});
	}

	/** Counts the request, refuses it at once when there are too many, and turns what is thrown into an answer. */
	private async runInScope(requestId: string, serve: (requestId: string) => Promise<Response>): Promise<Response> {
		if (!this.isSynced) {
			return answerError(this.core, new ControlUnavailableError('This entry does not know the newest configuration yet.'), requestId);
		}

		if (this.inFlight + this.core.openStreams >= this.options.settings.policy.maxInFlight) {
			return answerError(this.core, new RefusedError('This entry has as many requests in progress as it may.', 1), requestId);
		}

		this.inFlight += 1;
		const res = await serve(requestId).finally(() => {
			this.inFlight -= 1;
		});
		return res;
	}

	private async run(): Promise<void> {
		const {signal} = this.ending;
		const {logger} = this.options.context;
		this.store.subscribe(() => {
			if (this.store.current) {
				this.core.table.forgetMissing(this.store.current);
				this.reports.keepOnly(new Set(Object.keys(this.store.current.endpoints)));
			}
		});
		const onError = (thrown: unknown) => {
			logger.warn(`a round failed and is tried again: ${describeError(thrown)}`);
		};

		await Promise.all([
			this.upstream.follow(this.store, signal, message => {
				logger.warn(`following the configuration failed and is tried again: ${message}`);
			}),
			this.synchronize(),
			repeatUntilAborted(signal, demandPauseMs, async () => this.reportDemand(), onError),
		]);
	}

	/** Serves only from a configuration as new as any that was in force when it started. */
	private async synchronize(): Promise<void> {
		const {signal} = this.ending;
		while (!this.isSynced && !signal.aborted) {
			// Each try rests on a fresh answer.
			// eslint-disable-next-line no-await-in-loop
			const latest = await this.upstream.readLatest();
			if (latest.isOk()) {
				// eslint-disable-next-line no-await-in-loop
				await this.store.waitForUpdateAfter(latest.value - 1, signal);
				this.isSynced = !signal.aborted;
				this.options.context.timeline.record('configuration.synchronized', `revision ${this.store.revision}`);
			} else {
				// eslint-disable-next-line no-await-in-loop
				await waitFor(syncPauseMs, signal);
			}
		}
	}

	private async reportDemand(): Promise<void> {
		// Falling demand must be told too, until nothing of it is left.
		this.quietReports = this.core.demand.size > 0 ? 0 : this.quietReports + 1;
		if (this.quietReports < maxQuietReports) {
			const requests = Object.fromEntries(this.core.demand);
			this.core.demand.clear();
			await this.upstream.reportDemand({entry: this.options.instance.name, seconds: demandPauseMs / millisPerSecond, requests});
		}
	}

	/** Entries offer the configuration to sidecars, from their own copy. */
	private createUpstreamHandlers(): UpstreamHandlers {
		return {
			follow: async ({revision, waitMs}) => {
				const update = await this.store.waitForUpdateAfter(revision, createDeadlineSignal(Math.min(waitMs, maxFollowWaitMs), [this.ending.signal]));
				const clusterId = this.store.current?.clusterId;
				return clusterId === undefined || this.ending.signal.aborted
					? err(new ControlUnavailableError('This entry has no configuration yet, or is stopping.'))
					: ok(update ?? {clusterId, changes: []});
			},
			readLatest: async () => this.upstream.readLatest(),
			join: async request => this.upstream.join(request),
			report: async reports => this.passReports(reports),
			reportDemand: async report => this.upstream.reportDemand(report),
		};
	}

	private async passReports(reports: EndpointReport[]): Promise<Result<true, MastvalveError>> {
		const {clock} = this.options.context;
		const selected = this.reports.select(reports, clock.now());
		if (selected.length === 0) {
			return ok(true);
		}

		const passed = await this.upstream.report(selected);
		if (passed.isOk()) {
			this.reports.recordPassed(selected, clock.now());
		}

		return passed;
	}

	private readReadiness(): string | undefined {
		if (this.isDraining) {
			return 'draining';
		}

		return this.isSynced ? undefined : 'waiting for the newest configuration';
	}

	private async drain(server: RunningServer): Promise<void> {
		const {context} = this.options;
		this.isDraining = true;
		context.timeline.record('program.draining', 'entry takes no new connections and finishes what it has');
		this.ending.abort();
		await server.drain();
		context.timeline.record('program.stopped', 'entry has stopped');
	}

	private registerMetrics(): void {
		const {registry} = this.options.context;
		registerGauge(registry, 'mastvalve_in_flight', 'Requests of callers in progress', () => this.inFlight + this.core.openStreams);
		registerGauge(registry, 'mastvalve_configuration_revision', 'Revision in force', () => this.store.revision);
	}
}
