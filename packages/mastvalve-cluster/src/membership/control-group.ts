/**
 * A control instance as a member of its group: joins or creates the replicated log, maintains its membership, and forwards
 * proposals and reads to the leader.
 */

import {randomBytes} from 'node:crypto';
import type {MastvalveError} from 'mastvalve-types';
import {
	assumeType, callUntilAborted, describeError, repeatUntilAborted, waitFor,
} from 'mastvalve-utils';
import {
	createFileSystem, formatReplicaId, Journal, journalFormat, getInstanceName,
	type LogNode, type Message, type ReplicaId,
} from 'mastvalve-replication';
import {ok, type Result} from 'neverthrow';
import {LogTransport} from '../peer/log-transport.js';
import type {PeerHandler} from '../peer/peer-server.js';
import type {ControlGroupOptions} from './control-group-options.js';
import {groupTimes} from './group-times.js';
import {Announcements, type Announcement} from './announcements.js';
import {decideFormation, type Formation} from './formation.js';
import type {Identity} from './identity.js';
import {LeaderProxy} from './leader-proxy.js';
import {MembershipManager} from './membership-manager.js';
import {PeerDiscovery} from './peer-discovery.js';
import {startLogNode} from './start-log-node.js';

const diskIdBytes = 6;
const tickIntervalMs = 20;
const formationRetryMs = 60;
const announceIntervalMs = 150;
const membershipIntervalMs = 80;
/** The state of an instance that has received nothing from a leader for this long counts as stale, ms: half of the shortest bound for configurations. */
export const staleAfterMs = 1000;

export class ControlGroup {
	static async open(options: ControlGroupOptions): Promise<ControlGroup> {
		const fileSystem = createFileSystem(options.dataFolder);
		const journal = await Journal.open(fileSystem, options.address) ?? await Journal.create(fileSystem, {
			format: journalFormat,
			replica: options.address,
			disk: randomBytes(diskIdBytes).toString('hex'),
			clusterId: undefined,
			initialVoters: [],
			mayBegin: options.isFirstStart,
		});
		return new ControlGroup(options, journal);
	}

	private readonly transport: LogTransport;
	private readonly announcements: Announcements;
	private readonly discovery: PeerDiscovery;
	private readonly leaderProxy: LeaderProxy;
	private readonly shutdown = new AbortController();
	private node: LogNode | undefined;

	private constructor(private readonly options: ControlGroupOptions, private readonly journal: Journal) {
		const now = (): number => options.clock.now();
		this.transport = new LogTransport(options.client);
		this.announcements = new Announcements(now);
		this.discovery = new PeerDiscovery({...options, now});
		this.leaderProxy = new LeaderProxy({...options, readNode: () => this.node});
	}

	get ownId(): ReplicaId {
		return formatReplicaId(this.journal.header.replica, this.journal.header.disk);
	}

	/** Address of the leader, if known. */
	get leaderAddress(): string | undefined {
		return this.node?.leaderName;
	}

	/** Addresses of voters and learners. */
	get memberAddresses(): string[] {
		const membership = this.node?.replica.currentMembership;
		return membership ? [...new Set([...membership.voters, ...membership.learners].map(getInstanceName))] : [];
	}

	get voters(): ReplicaId[] {
		return this.node?.replica.currentMembership.voters ?? [];
	}

	/** Whether this instance leads with a valid lease and has applied all committed entries. */
	get isLeading(): boolean {
		return this.node?.hasLinearizableState() ?? false;
	}

	/** The term in which this instance leads with a valid lease, even if it has not applied all committed entries; otherwise undefined. */
	get leadingTerm(): number | undefined {
		return this.node?.hasReadLease() ? this.node.replica.term : undefined;
	}

	get term(): number {
		return this.node?.replica.term ?? 0;
	}

	/** Number of log entries in memory. */
	get logLength(): number {
		return this.node?.replica.logLength ?? 0;
	}

	/** Whether the group has its target number of voters. */
	get hasAllVoters(): boolean {
		return this.voters.length >= this.options.voterCount;
	}

	/**
	 * Whether the applied state is at most `staleAfterMs` old. Committed entries whose write is in flight don't make it stale:
	 * followers that are refused during a write would all switch to instances in other failure domains at the same time.
	 */
	get isCurrent(): boolean {
		const now = this.options.clock.now();
		const contactAt = this.node?.leaderContactAt();
		return contactAt !== undefined && now - contactAt < staleAfterMs;
	}

	/** Describes how current the state is, for the message to a caller that is refused because it is stale. */
	describeFreshness(): string {
		const {clock} = this.options;
		const now = clock.now();
		const contactAt = this.node?.leaderContactAt();
		const contact = contactAt === undefined ? 'no leader heard' : `leader heard ${Math.round(now - contactAt)} ms ago`;
		return `${contact}, applied ${this.node?.appliedIndex ?? 0} of ${this.node?.replica.commitIndex ?? 0} committed entries`;
	}

	/** Returns the handlers for calls from other members and from followers, by path. */
	handlers(): Array<[string, PeerHandler]> {
		return [
			['/identify', async () => ok(this.identify())],
			['/log', async body => {
				assumeType<Message[]>(body).filter(message => message.to === this.ownId).forEach(message => {
					this.node?.receive(message);
				});
				return ok(true);
			}],
			['/announce', async body => {
				this.announcements.record(assumeType<Announcement>(body));
				return ok(true);
			}],
			...this.leaderProxy.handlers(),
		];
	}

	/** Joins or creates the log, and participates in it until `stop` is called. */
	async run(): Promise<void> {
		const {signal} = this.shutdown;
		await this.joinOrFormCluster();
		if (signal.aborted) {
			return;
		}

		const node = startLogNode(this.options, {
			id: this.ownId, journal: this.journal, transport: this.transport, signal,
		});
		this.node = node;
		const membershipManager = this.createMembershipManager(node);
		callUntilAborted(signal, tickIntervalMs, () => {
			node.tick();
		});
		const onError = (thrown: unknown) => {
			this.options.onError(`membership maintenance failed: ${describeError(thrown)}`);
		};

		await Promise.all([
			repeatUntilAborted(signal, announceIntervalMs, async () => membershipManager.announce(), onError),
			repeatUntilAborted(signal, membershipIntervalMs, async () => membershipManager.changeMembership(), onError),
		]);
	}

	/** Transfers leadership to another voter, so that a planned stop causes no election. */
	async transferLeadership(): Promise<void> {
		if (this.isLeading) {
			this.node?.transferLeadership();
			await waitFor(groupTimes.heartbeatMs * 2);
		}
	}

	async stop(): Promise<void> {
		this.shutdown.abort();
		await this.node?.stop();
		await this.journal.close();
	}

	/** Proposes a command at the leader and returns its result. */
	async propose(command: unknown): Promise<Result<unknown, MastvalveError>> {
		return this.leaderProxy.propose(command);
	}

	/** Waits until every entry that was committed at the time of the call is applied locally. */
	async waitUntilFresh(): Promise<Result<true, MastvalveError>> {
		return this.leaderProxy.waitUntilFresh();
	}

	/** Calls the leader; fails immediately if none is known. */
	async callLeader<T>(path: string, body: unknown): Promise<Result<T, MastvalveError>> {
		return this.leaderProxy.call<T>(path, body);
	}

	private identify(): Identity {
		const {header} = this.journal;
		return {
			address: this.options.address,
			replicaId: this.ownId,
			clusterId: header.clusterId,
			initialVoters: header.initialVoters,
			mayBegin: this.mayBegin,
			peers: [...new Set([...this.memberAddresses, ...this.announcements.listAddresses()])],
			founder: undefined,
		};
	}

	private get mayBegin(): boolean {
		return this.journal.header.mayBegin ?? false;
	}

	private async identifyPeers(): Promise<Identity[]> {
		this.discovery.addPeers([...this.memberAddresses, ...this.announcements.listAddresses()]);
		return this.discovery.identifyPeers();
	}

	/** Retries until the instance belongs to a replicated log. */
	private async joinOrFormCluster(): Promise<void> {
		const {signal} = this.shutdown;
		while (this.journal.header.clusterId === undefined && !signal.aborted) {
			// Each attempt needs current answers.
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.identifyPeers();
			const formation = decideFormation(this.identify(), this.options.readSeeds(), answers);
			// eslint-disable-next-line no-await-in-loop
			await (formation ? this.recordFormation(formation) : this.announceAndWait());
		}
	}

	private async announceAndWait(): Promise<void> {
		await Promise.all([this.discovery.announce({id: this.ownId, mayBegin: this.mayBegin}), waitFor(formationRetryMs, this.shutdown.signal)]);
	}

	/** Records the log that this instance belongs to, or its founders. A disk that rejects the record is tried again with the next answers. */
	private async recordFormation({clusterId, initialVoters}: Formation): Promise<void> {
		const {onEvent, onError} = this.options;
		try {
			await this.journal.recordCluster(clusterId, initialVoters);
			const voters = `as ${this.ownId}, initial voters ${initialVoters.join(', ')}`;
			onEvent(clusterId === undefined ? 'log.founders-recorded' : 'log.formed', clusterId === undefined ? voters : `cluster ${clusterId} ${voters}`);
		} catch (error) {
			onError(`storage rejected the record of cluster ${clusterId ?? 'founders'}; retrying: ${describeError(error)}`);
			await waitFor(formationRetryMs, this.shutdown.signal);
		}
	}

	private createMembershipManager(node: LogNode): MembershipManager {
		const {clock, voterCount, onEvent} = this.options;
		return new MembershipManager({
			ownId: this.ownId,
			node,
			discovery: this.discovery,
			announcements: this.announcements,
			clock,
			voterCount,
			isCurrent: () => this.isCurrent,
			listMemberAddresses: () => this.memberAddresses,
			onEvent,
		});
	}
}
