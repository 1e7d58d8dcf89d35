/**
 * One control instance as a member of its group: finds or begins the replicated log, keeps a place in it, and lets
 * the program propose and read wherever the leader is.
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
import {decideFormation} from './formation.js';
import type {Identity} from './identity.js';
import {LeaderAccess} from './leader-access.js';
import {MembershipDuty} from './membership-duty.js';
import {PeerSearch} from './peer-search.js';
import {startLogNode} from './start-log-node.js';

const diskIdBytes = 6;
const tickMs = 20;
const formationPauseMs = 60;
const announcePauseMs = 150;
const membershipPauseMs = 80;
/** An instance that heard no leader for this long can't tell whether what it holds is the newest, ms. Half of the shortest bound for configurations. */
export const staleAfterMs = 1000;

/** A member of the group. */
export class ControlGroup {
	static async open(options: ControlGroupOptions): Promise<ControlGroup> {
		const files = createFileSystem(options.dataFolder);
		const journal = await Journal.open(files, options.address) ?? await Journal.create(files, {
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
	private readonly search: PeerSearch;
	private readonly leader: LeaderAccess;
	private readonly ending = new AbortController();
	private node: LogNode | undefined;

	private constructor(private readonly options: ControlGroupOptions, private readonly journal: Journal) {
		const now = (): number => options.clock.now();
		this.transport = new LogTransport(options.client);
		this.announcements = new Announcements(now);
		this.search = new PeerSearch({...options, now});
		this.leader = new LeaderAccess({...options, readNode: () => this.node});
	}

	get ownId(): ReplicaId {
		return formatReplicaId(this.journal.header.replica, this.journal.header.disk);
	}

	/** Address of the leader, as far as it is known. */
	get leaderAddress(): string | undefined {
		return this.node?.leaderName;
	}

	/** Addresses of all members. */
	get memberAddresses(): string[] {
		const membership = this.node?.replica.currentMembership;
		return membership ? [...new Set([...membership.voters, ...membership.learners].map(getInstanceName))] : [];
	}

	/** Identities that make up quorums. */
	get voters(): ReplicaId[] {
		return this.node?.replica.currentMembership.voters ?? [];
	}

	/** Whether this one leads with a valid lease, and all that is committed is applied. */
	get isLeading(): boolean {
		return this.node?.hasLinearizableState() ?? false;
	}

	/** The term in which this one leads with a valid lease, whether or not it has applied all; undefined when it doesn't. */
	get leadingTerm(): number | undefined {
		return this.node?.hasReadLease() ? this.node.replica.term : undefined;
	}

	get term(): number {
		return this.node?.replica.term ?? 0;
	}

	/** Entries of the log in memory. */
	get logLength(): number {
		return this.node?.replica.logLength ?? 0;
	}

	/** Whether as many voters hold the log as are wanted. */
	get hasAllVoters(): boolean {
		return this.voters.length >= this.options.voterCount;
	}

	/**
	 * Whether what is applied here is at most `staleAfterMs` old. What is committed and still being written doesn't make it
	 * old: followers that are refused during a write go to instances in other failure domains, all at once.
	 */
	get isCurrent(): boolean {
		const now = this.options.clock.now();
		const heardAt = this.node?.leaderContactAt();
		return heardAt !== undefined && now - heardAt < staleAfterMs;
	}

	/** How current this instance is, in words, for whoever was refused because it isn't. */
	describeFreshness(): string {
		const {clock} = this.options;
		const now = clock.now();
		const heardAt = this.node?.leaderContactAt();
		const heard = heardAt === undefined ? 'no leader heard' : `leader heard ${Math.round(now - heardAt)} ms ago`;
		return `${heard}, applied ${this.node?.appliedIndex ?? 0} of ${this.node?.replica.commitIndex ?? 0} committed entries`;
	}

	/** Calls of the other members and of followers. */
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
				this.announcements.hear(assumeType<Announcement>(body));
				return ok(true);
			}],
			...this.leader.handlers(),
		];
	}

	/** Takes part until it is stopped. */
	async run(): Promise<void> {
		const {signal} = this.ending;
		await this.form();
		if (signal.aborted) {
			return;
		}

		const node = startLogNode(this.options, {
			id: this.ownId, journal: this.journal, transport: this.transport, signal,
		});
		this.node = node;
		const duty = this.createDuty(node);
		callUntilAborted(signal, tickMs, () => {
			node.tick();
		});
		const onError = (thrown: unknown) => {
			this.options.onError(`a round of membership failed: ${describeError(thrown)}`);
		};

		await Promise.all([
			repeatUntilAborted(signal, announcePauseMs, async () => duty.announce(), onError),
			repeatUntilAborted(signal, membershipPauseMs, async () => duty.changeMembership(), onError),
		]);
	}

	/** Hands leadership over, so that a planned stop costs no election. */
	async transferLeadership(): Promise<void> {
		if (this.isLeading) {
			this.node?.transferLeadership();
			await waitFor(groupTimes.heartbeatMs * 2);
		}
	}

	async stop(): Promise<void> {
		this.ending.abort();
		await this.node?.stop();
		await this.journal.close();
	}

	/** Proposes a command at the leader, wherever that is, and gives its result. */
	async propose(command: unknown): Promise<Result<unknown, MastvalveError>> {
		return this.leader.propose(command);
	}

	/** Waits until all is applied here that was committed anywhere when it was called. */
	async waitUntilFresh(): Promise<Result<true, MastvalveError>> {
		return this.leader.readFresh();
	}

	/** Calls the leader; fails at once when none is known. */
	async callLeader<T>(path: string, body: unknown): Promise<Result<T, MastvalveError>> {
		return this.leader.call<T>(path, body);
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

	/** Asks everyone who may know the group. */
	private async askOthers(): Promise<Identity[]> {
		this.search.learn([...this.memberAddresses, ...this.announcements.listAddresses()]);
		return this.search.ask();
	}

	/** Waits until the instance belongs to a replicated log. */
	private async form(): Promise<void> {
		const {signal} = this.ending;
		while (this.journal.header.clusterId === undefined && !signal.aborted) {
			// Each round rests on fresh answers.
			// eslint-disable-next-line no-await-in-loop
			const answers = await this.askOthers();
			const formation = decideFormation(this.identify(), this.options.readSeeds(), answers);
			if (formation) {
				// eslint-disable-next-line no-await-in-loop
				await this.journal.recordCluster(formation.clusterId, formation.initialVoters);
				this.options.onEvent('log.formed', `cluster ${formation.clusterId} as ${this.ownId}, beginning with ${formation.initialVoters.join(', ')}`);
			} else {
				// eslint-disable-next-line no-await-in-loop
				await Promise.all([this.search.announce({id: this.ownId, mayBegin: this.mayBegin}), waitFor(formationPauseMs, signal)]);
			}
		}
	}

	private createDuty(node: LogNode): MembershipDuty {
		const {clock, voterCount, onEvent} = this.options;
		return new MembershipDuty({
			ownId: this.ownId, node, search: this.search, announcements: this.announcements, clock, voterCount, isCurrent: () => this.isCurrent, listMembers: () => this.memberAddresses, onEvent,
		});
	}
}
