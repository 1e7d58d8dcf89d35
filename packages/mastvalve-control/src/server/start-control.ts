/**
 * The control program: opens its journal, finds or begins the replicated log, serves, and does a leader's duties.
 */

import {randomBytes} from 'node:crypto';
import {
	createApp, createFaultReporter, mountRouter, registerGauge, startServer, type ProgramContext, type RunningServer, type UpstreamHandlers,
} from 'mastvalve-http';
import {
	createFileSystem, defaultReplicaTimes, formatReplicaId, Journal, journalFormat, type FileSystem, type Message, type ReplicaId, type ReplicaTimes,
} from 'mastvalve-replication';
import type {ControlInstance, Settings} from 'mastvalve-settings';
import {ControlUnavailableError, type EndpointReport, type MastvalveError} from 'mastvalve-types';
import {
	callUntilAborted, describeError, repeatUntilAborted, toMastvalveError, waitFor, assumeType,
} from 'mastvalve-utils';
import {err, type Result} from 'neverthrow';
import {createControlRouter} from './control-router.js';
import {
	createOperatorHandlers, createUpstreamHandlers, proposeCommand, type ControlParts,
} from './control-handlers.js';
import {DemandEstimate} from './demand-estimate.js';
import {EndpointWatch, type ListedInstance} from './endpoint-watch.js';
import {fetchList} from './fetch-list.js';
import {decideFormation, FormationKind} from './form-cluster.js';
import {carryOutDuties} from './leader-duties.js';
import type {OperatorHandlers} from './operator-router.js';
import {PeerTransport} from './peer-transport.js';
import {startLog} from './running-log.js';

/** Options of a control program. */
export type StartControlOptions = {
	context: ProgramContext;
	settings: Settings;
	instance: ControlInstance;
	times?: ReplicaTimes;
	files?: FileSystem;
	/** Called when storage failed and the program must end. */
	onFailure?: () => void;
};

/** A running program. */
export type RunningProgram = {
	address: string;
	/** Stops as planned: hands over, finishes what is in progress. */
	drain: () => Promise<void>;
};

const tickMs = 20;
const dutyPauseMs = 500;
const formationPauseMs = 200;
const peerCallMs = 1000;
const handOverMs = 300;
const announcePauseMs = 500;
const diskIdBytes = 4;
/** Bytes of one call of peers, operators or entries. A snapshot is sent as one message; V8 can't hold twice as much in one string. */
const maxRpcBytes = 268_435_456;

/** Starts a control instance. It listens first, since peers must be able to ask who it is. */
export const startControl = async (options: StartControlOptions): Promise<Result<RunningProgram, MastvalveError>> => {
	const {instance} = options;
	try {
		const files = options.files ?? createFileSystem(instance.dataFolder);
		const journal = await Journal.open(files, instance.name) ?? await Journal.create(files, {
			format: journalFormat,
			replica: instance.name,
			disk: randomBytes(diskIdBytes).toString('hex'),
			clusterId: undefined,
			initialVoters: [],
		});
		return await new ControlProgram(options, journal).start();
	} catch (error) {
		return err(toMastvalveError(error));
	}
};

/** One running control instance. */
class ControlProgram {
	private readonly ending = new AbortController();
	private readonly transport: PeerTransport;
	private readonly joining = new Set<ReplicaId>();
	private readonly ownId: ReplicaId;
	private parts: ControlParts | undefined;

	constructor(private readonly options: StartControlOptions, private readonly journal: Journal) {
		const {settings, instance, context} = options;
		const peers = settings.instances.filter(other => other.program === instance.program && other.name !== instance.name);
		this.transport = new PeerTransport(new Map(peers.map(peer => [peer.name, `http://${peer.listen}`])), context.hybridClock);
		this.ownId = formatReplicaId(journal.header.replica, journal.header.disk);
	}

	async start(): Promise<Result<RunningProgram, MastvalveError>> {
		const {context, instance} = this.options;
		const app = createApp(context, () => this.readReadiness());
		mountRouter(app, createControlRouter(this.createUpstream(), this.createOperator(), {
			identify: () => ({replicaId: this.ownId, clusterId: this.journal.header.clusterId, initialVoters: this.journal.header.initialVoters}),
			deliver: messages => {
				this.deliver(messages);
			},
			announce: id => {
				this.joining.add(id);
			},
		}), {maxBytes: maxRpcBytes});
		const server = await startServer(app, instance.listen, {onFault: createFaultReporter(context)});
		return server.map(running => {
			this.registerMetrics();
			context.timeline.record('program.started', `control listens on ${running.address}`);
			if (this.journal.truncatedBytes > 0) {
				context.timeline.record('journal.cut', `${this.journal.truncatedBytes} bytes of a torn last record were cut`);
			}

			void this.run();
			return {address: running.address, drain: async () => this.drain(running)};
		});
	}

	private async run(): Promise<void> {
		const {signal} = this.ending;
		await this.form();
		if (signal.aborted) {
			return;
		}

		const {context, settings, instance, times, onFailure} = this.options;
		const log = startLog({
			context,
			journal: this.journal,
			policy: settings.policy,
			times: times ?? defaultReplicaTimes,
			send: message => {
				this.transport.send(message);
			},
			onFailure() {
				onFailure?.();
			},
		});
		const reports = new Map<string, EndpointReport>();
		const demand = new DemandEstimate();
		const parts: ControlParts = {
			instance: instance.name, ...log, clock: context.clock, demand, reports,
		};
		this.parts = parts;
		const onError = (thrown: unknown) => {
			context.logger.warn({err: thrown}, `a duty failed and is tried again: ${describeError(thrown)}`);
		};

		const duties = {
			...log,
			clock: context.clock,
			policy: settings.policy,
			weightStore: settings.weightStore,
			demand,
			joining: this.joining,
			watch: new EndpointWatch(),
			propose: async (body: Parameters<typeof proposeCommand>[1]) => proposeCommand(parts, body),
			fetchList: async () => this.fetchList(),
		};
		callUntilAborted(signal, tickMs, () => {
			log.node.tick();
		});
		await Promise.all([
			repeatUntilAborted(signal, dutyPauseMs, async () => carryOutDuties(duties), onError),
			repeatUntilAborted(signal, announcePauseMs, async () => this.announce(), onError),
		]);
	}

	/** Waits until the instance belongs to a replicated log. */
	private async form(): Promise<void> {
		const {signal} = this.ending;
		while (this.journal.header.clusterId === undefined && !signal.aborted) {
			// Each round rests on fresh answers of all peers.
			// eslint-disable-next-line no-await-in-loop
			const answers = await Promise.all(this.transport.clients.map(async client =>
				client.replication.identify.query(undefined, {signal: AbortSignal.timeout(peerCallMs)}).catch(() => undefined)));
			const step = decideFormation(this.ownId, answers);
			if (step.kind === FormationKind.Wait) {
				// eslint-disable-next-line no-await-in-loop
				await waitFor(formationPauseMs, signal);
			} else {
				// eslint-disable-next-line no-await-in-loop
				await this.journal.recordCluster(step.clusterId, step.initialVoters);
				this.options.context.timeline.record('log.formed', `${step.kind} of cluster ${step.clusterId} as ${this.ownId}`);
			}
		}
	}

	/** Asks to be taken into the membership as long as it isn't in it. */
	private async announce(): Promise<void> {
		const membership = this.parts?.node.replica.currentMembership;
		const isMember = membership && [...membership.voters, ...membership.learners].includes(this.ownId);
		if (!isMember) {
			await Promise.all(this.transport.clients.map(async client =>
				client.replication.announce.mutate({id: this.ownId}, {signal: AbortSignal.timeout(peerCallMs)}).catch(() => undefined)));
		}
	}

	private deliver(messages: Message[]): void {
		messages.filter(message => message.to === this.ownId).forEach(message => {
			this.parts?.node.receive(message);
		});
	}

	private async fetchList(): Promise<ListedInstance[] | undefined> {
		const {settings: {platformList}, context} = this.options;
		return platformList === undefined
			? undefined
			: fetchList(platformList, message => {
				context.logger.warn(message);
			});
	}

	private readReadiness(): string | undefined {
		if (!this.parts) {
			return 'waiting for the other control instances';
		}

		return this.parts.node.leaderName === undefined ? 'no leader is known' : undefined;
	}

	private registerMetrics(): void {
		const {registry} = this.options.context;
		[
			{name: 'mastvalve_commit_index', help: 'Last committed index of the replicated log', read: (parts: ControlParts) => parts.node.replica.commitIndex},
			{name: 'mastvalve_term', help: 'Term of the replicated log', read: (parts: ControlParts) => parts.node.replica.term},
			{name: 'mastvalve_is_leader', help: '1 when this instance leads with a valid lease', read: (parts: ControlParts) => Number(parts.node.hasLinearizableState())},
			{name: 'mastvalve_claims', help: 'Claims kept', read: (parts: ControlParts) => parts.machine.claimCount},
			{name: 'mastvalve_configuration_revision', help: 'Revision in force', read: (parts: ControlParts) => parts.store.revision},
		].forEach(({name, help, read}) => {
			registerGauge(registry, name, help, () => (this.parts ? read(this.parts) : 0));
		});
	}

	private async drain(server: RunningServer): Promise<void> {
		const {context} = this.options;
		context.timeline.record('program.draining', 'control hands over and stops');
		if (this.parts?.node.hasLinearizableState()) {
			this.parts.node.transferLeadership();
			await waitFor(handOverMs);
		}

		this.ending.abort();
		await this.parts?.node.stop();
		await server.close();
		await this.journal.close();
		context.timeline.record('program.stopped', 'control has stopped');
	}

	private createUpstream(): UpstreamHandlers {
		return delegate<UpstreamHandlers>(() => this.parts && createUpstreamHandlers(this.parts));
	}

	private createOperator(): OperatorHandlers {
		return delegate<OperatorHandlers>(() => this.parts && createOperatorHandlers(this.parts));
	}
}

type Handler = (...args: never[]) => Promise<Result<unknown, MastvalveError>>;

/** Handlers that answer "unavailable" until the real ones exist. */
const delegate = <Handlers extends Record<string, unknown>>(find: () => Handlers | undefined): Handlers =>
	assumeType(new Proxy({}, {
		get: (_target, name) => async (...args: never[]) => {
			const handler = assumeType<Record<string | symbol, Handler> | undefined>(find())?.[name];
			return handler ? handler(...args) : err(new ControlUnavailableError('This control instance waits for the others.'));
		},
	}));

