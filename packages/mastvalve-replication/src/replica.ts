/**
 * One replica of the log as a pure state machine: messages, proposals and time go in; writes, messages and committed
 * entries come out. It opens no socket or file and reads no clock, so that tests can drive it through any order of
 * loss, delay, repeat and crash.
 *
 * The algorithm is Raft with pre-vote, leader lease, leadership transfer, snapshots and single-server membership
 * changes (Ongaro's thesis, 2014, chapters 3 to 6 and 9.6).
 */

import type {DurableWrite, Effects} from './effects.js';
import type {HardState} from './hard-state.js';
import {EntryKind, type LogEntry} from './log-entry.js';
import {
	quorumSize, quorumValue, type Membership, type ReplicaId,
} from './membership.js';
import {MemoryLog} from './memory-log.js';
import {
	MessageKind, type AppendRequest, type AppendResponse, type Message, type SnapshotRequest, type VoteRequest, type VoteResponse,
} from './message.js';
import type {ReplicaOptions, ReplicaRules, ReplicaTimes} from './replica-options.js';
import type {Snapshot} from './snapshot.js';

/** Roles of a replica. */
export enum Role {
	Follower = 'follower',
	PreCandidate = 'pre-candidate',
	Candidate = 'candidate',
	Leader = 'leader',
}

/** What a leader knows of another replica. */
type Progress = {
	nextIndex: number;
	matchIndex: number;
	/** The leader's clock when it sent what was last acknowledged. */
	acknowledgedAt: number;
	/** When a snapshot was last sent; it isn't sent again at once. */
	snapshotSentAt: number;
};

/** A message before sender and term are put on. */
type Unsent<M> = M extends Message ? Omit<M, 'from' | 'term'> & {term?: number} : never;

/** Entries in one message at the most. */
const maxEntriesPerMessage = 512;

const defaultTrailingEntries = 1000;

/** One replica. Call any of its inputs, then carry out what `takeEffects` gives. */
export class Replica {
	readonly id: ReplicaId;
	role = Role.Follower;
	leader: ReplicaId | undefined;
	commitIndex: number;
	/** When this replica last became leader, in the clock given to it. */
	ledSince = Number.NEGATIVE_INFINITY;

	private readonly times: ReplicaTimes;
	private readonly rules: ReplicaRules;
	private readonly random: () => number;
	private readonly trailingEntries: number;
	private readonly log: MemoryLog;
	private hardState: HardState;
	private membership: Membership;

	private electionAt = 0;
	private heartbeatAt = 0;
	/** No vote is given before this time: a leader may hold a lease on our silence. */
	private quietUntil: number;
	private votes = new Set<ReplicaId>();
	private progress = new Map<ReplicaId, Progress>();
	private termStartIndex = 0;
	private transferringUntil: number | undefined;
	private emittedIndex: number;

	private pendingWrite: DurableWrite = {append: []};
	private hasWrite = false;
	private messages: Message[] = [];
	private restore: Snapshot | undefined;

	constructor(options: ReplicaOptions) {
		this.id = options.id;
		this.times = options.times;
		this.rules = options.rules;
		this.random = options.random;
		this.trailingEntries = options.trailingEntries ?? defaultTrailingEntries;
		this.hardState = options.restored.hardState;
		this.log = new MemoryLog(options.initialMembership, options.restored.snapshot, options.restored.entries);
		this.membership = this.log.membershipAt();
		this.commitIndex = options.restored.snapshot?.index ?? 0;
		this.emittedIndex = this.commitIndex;
		// Before a restart we may have acknowledged a heartbeat on which a lease still rests.
		const quietSince = options.quietSince ?? options.now;
		this.quietUntil = quietSince + options.times.electionTimeoutMs;
		this.resetElectionTimer(quietSince);
	}

	get term(): number {
		return this.hardState.term;
	}

	get lastIndex(): number {
		return this.log.lastIndex;
	}

	/** Entries in memory. */
	get logLength(): number {
		return this.log.lastIndex - this.log.firstIndex + 1;
	}

	get currentMembership(): Membership {
		return this.membership;
	}

	/** Whether a membership change still waits to be committed. */
	get hasUncommittedMembership(): boolean {
		return this.log.lastMembershipIndex() > this.commitIndex;
	}

	/** When `tick` next has something to do, in the clock given to it. */
	get nextTimerAt(): number {
		return this.role === Role.Leader ? Math.min(this.heartbeatAt, this.transferringUntil ?? Number.POSITIVE_INFINITY) : this.electionAt;
	}

	/** Whether reads of committed state are linearizable at this moment. */
	isFresh(now: number): boolean {
		return this.role === Role.Leader
			&& this.commitIndex >= this.termStartIndex
			&& this.transferringUntil === undefined
			&& now < this.leaseEnd(now);
	}

	/** Whether a learner has all that is committed and answers. */
	isCaughtUp(id: ReplicaId, now: number): boolean {
		const progress = this.progress.get(id);
		return progress !== undefined
			&& progress.matchIndex >= this.commitIndex
			&& now - progress.acknowledgedAt < this.times.electionTimeoutMs;
	}

	/** When this replica last heard from the leader that it follows; undefined without one. */
	leaderHeardAt(now: number): number | undefined {
		if (this.role === Role.Leader) {
			return this.isFresh(now) ? now : undefined;
		}

		return this.leader === undefined ? undefined : this.quietUntil - this.times.electionTimeoutMs;
	}

	/** When another replica last answered this leader; 0 or less when it never did. */
	acknowledgedAt(id: ReplicaId): number {
		return this.progress.get(id)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Time goes on. */
	tick(now: number): void {
		if (this.role === Role.Leader) {
			this.tickLeader(now);
		} else if (now >= this.electionAt && this.membership.voters.includes(this.id)) {
			this.startPreVote(now);
		}
	}

	/** Appends a command; its index and term, or undefined when this isn't the leader. */
	propose(command: unknown): {index: number; term: number} | undefined {
		if (this.role !== Role.Leader || this.transferringUntil !== undefined) {
			return undefined;
		}

		return this.appendAsLeader({
			index: this.lastIndex + 1, term: this.term, kind: EntryKind.Command, command,
		});
	}

	/** Appends a membership that differs by one replica; refused while another change is under way. */
	proposeMembership(membership: Membership): {index: number; term: number} | undefined {
		const isReady = this.role === Role.Leader && this.commitIndex >= this.termStartIndex && this.transferringUntil === undefined;
		if (!isReady || !this.rules.mayChangeMembership(this.hasUncommittedMembership)) {
			return undefined;
		}

		return this.appendAsLeader({
			index: this.lastIndex + 1, term: this.term, kind: EntryKind.Membership, membership,
		});
	}

	/** Sends what waits to all others; called once after a batch of proposals. */
	flush(now: number): void {
		if (this.role === Role.Leader) {
			this.others().filter(id => this.progressOf(id).nextIndex <= this.lastIndex).forEach(id => {
				this.sendEntries(id, now);
			});
		}
	}

	/** Hands leadership to the voter that is furthest along. The lease ends at once and for this term. */
	transferLeadership(now: number): void {
		const target = this.others()
			.filter(id => this.membership.voters.includes(id) && this.isCaughtUp(id, now))
			.toSorted((a, b) => this.progressOf(b).matchIndex - this.progressOf(a).matchIndex)[0];
		if (this.role === Role.Leader && target) {
			this.transferringUntil = now + (2 * this.times.electionTimeoutMs);
			this.send({kind: MessageKind.TimeoutNow, to: target});
		}
	}

	/** Takes in a snapshot of the state machine at an applied index, and forgets what it covers. */
	compact(index: number, data: unknown): void {
		const term = this.log.termAt(index);
		if (term === undefined || index > this.emittedIndex || index <= (this.log.snapshot?.index ?? 0)) {
			return;
		}

		const snapshot: Snapshot = {
			index, term, membership: this.log.membershipAt(index), data,
		};
		// Replicas that are behind the snapshot before this one get this one: entries are kept by number, but may be large.
		const sinceFormer = index - (this.log.snapshot?.index ?? 0);
		this.log.compact(snapshot, Math.min(this.trailingEntries, sinceFormer));
		this.pendingWrite = {
			...this.pendingWrite, snapshot, truncateFrom: undefined, append: this.log.read(index + 1), hardState: this.hardState,
		};
		this.hasWrite = true;
	}

	/** Takes in a message. */
	receive(message: Message, now: number): void {
		const isVoteRequest = message.kind === MessageKind.VoteRequest || message.kind === MessageKind.PreVoteRequest;
		if (isVoteRequest && this.isDisruptive(message, now)) {
			this.refuseVote(message);
			return;
		}

		const isPreVote = message.kind === MessageKind.PreVoteRequest || (message.kind === MessageKind.PreVoteResponse && message.granted);
		if (message.term > this.term && !isPreVote) {
			this.becomeFollower(message.term, now);
		}

		switch (message.kind) {
			case MessageKind.PreVoteRequest:
			case MessageKind.VoteRequest: {
				this.handleVoteRequest(message, now);
				break;
			}

			case MessageKind.PreVoteResponse:
			case MessageKind.VoteResponse: {
				this.handleVoteResponse(message, now);
				break;
			}

			case MessageKind.AppendRequest: {
				this.handleAppend(message, now);
				break;
			}

			case MessageKind.AppendResponse: {
				this.handleAppendResponse(message, now);
				break;
			}

			case MessageKind.SnapshotRequest: {
				this.handleSnapshot(message, now);
				break;
			}

			case MessageKind.TimeoutNow: {
				if (message.term === this.term && this.role !== Role.Leader && this.membership.voters.includes(this.id)) {
					this.startElection(now, true);
				}
			}
		}
	}

	/** What must be written, sent and applied since the last call. */
	takeEffects(): Effects {
		const committed = this.log.read(this.emittedIndex + 1, this.commitIndex - this.emittedIndex);
		this.emittedIndex = this.commitIndex;
		const effects: Effects = {
			write: this.hasWrite ? this.pendingWrite : undefined,
			messages: this.messages,
			restore: this.restore,
			committed,
		};
		this.pendingWrite = {append: []};
		this.hasWrite = false;
		this.messages = [];
		this.restore = undefined;
		return effects;
	}

	// Elections

	private startPreVote(now: number): void {
		this.role = Role.PreCandidate;
		this.leader = undefined;
		this.resetElectionTimer(now);
		this.collectVotes(MessageKind.PreVoteRequest, this.term + 1, false, now);
	}

	private startElection(now: number, transfer: boolean): void {
		this.role = Role.Candidate;
		this.leader = undefined;
		this.setHardState({term: this.term + 1, votedFor: this.id});
		this.resetElectionTimer(now);
		this.collectVotes(MessageKind.VoteRequest, this.term, transfer, now);
	}

	private collectVotes(kind: VoteRequest['kind'], term: number, transfer: boolean, now: number): void {
		this.votes = new Set([this.id]);
		this.membership.voters.filter(id => id !== this.id).forEach(to => {
			this.send({
				kind, to, term, lastIndex: this.lastIndex, lastTerm: this.log.lastTerm, transfer,
			});
		});
		this.countVotes(now);
	}

	private countVotes(now: number): void {
		const granted = this.membership.voters.filter(id => this.votes.has(id)).length;
		if (granted < quorumSize(this.membership)) {
			return;
		}

		if (this.role === Role.PreCandidate) {
			this.startElection(now, false);
		} else {
			this.becomeLeader(now);
		}
	}

	/** Whether a vote would break a lease that may rest on our silence. */
	private isDisruptive(message: VoteRequest, now: number): boolean {
		const quietUntil = this.role === Role.Leader ? this.leaseEnd(now) : this.quietUntil;
		return !message.transfer && now < quietUntil;
	}

	private refuseVote(message: VoteRequest): void {
		this.send({kind: responseKind(message.kind), to: message.from, granted: false});
	}

	private handleVoteRequest(message: VoteRequest, now: number): void {
		const isPreVote = message.kind === MessageKind.PreVoteRequest;
		const isCurrent = this.rules.isLogCurrent(message, {lastIndex: this.lastIndex, lastTerm: this.log.lastTerm});
		const isAllowed = isPreVote
			? message.term > this.term
			: message.term === this.term && this.rules.mayVote(this.hardState.votedFor, message.from);
		const granted = isCurrent && isAllowed;
		if (granted && !isPreVote) {
			this.setHardState({term: this.term, votedFor: message.from});
			this.resetElectionTimer(now);
		}

		this.send({
			kind: responseKind(message.kind), to: message.from, granted, term: granted ? message.term : this.term,
		});
	}

	private handleVoteResponse(message: VoteResponse, now: number): void {
		const isPreVote = message.kind === MessageKind.PreVoteResponse;
		const isExpected = isPreVote
			? this.role === Role.PreCandidate && message.term === this.term + 1
			: this.role === Role.Candidate && message.term === this.term;
		if (isExpected && message.granted) {
			this.votes.add(message.from);
			this.countVotes(now);
		}
	}

	private becomeFollower(term: number, now: number): void {
		if (term > this.term) {
			this.setHardState({term});
		}

		this.role = Role.Follower;
		this.leader = undefined;
		this.transferringUntil = undefined;
		this.resetElectionTimer(now);
	}

	private becomeLeader(now: number): void {
		this.role = Role.Leader;
		this.leader = this.id;
		this.ledSince = now;
		this.transferringUntil = undefined;
		this.progress = new Map();
		this.termStartIndex = this.lastIndex + 1;
		// A new leader has this long to hear from a majority before it steps down.
		this.electionAt = now + (2 * this.times.electionTimeoutMs);
		this.appendAsLeader({index: this.termStartIndex, term: this.term, kind: EntryKind.NoOp});
		this.broadcast(now);
	}

	// Leader

	private tickLeader(now: number): void {
		if (this.transferringUntil !== undefined && now >= this.transferringUntil) {
			this.becomeFollower(this.term, now);
			return;
		}

		const heardAt = quorumValue(this.membership, id => (id === this.id ? now : this.progressOf(id).acknowledgedAt));
		const isAlone = now - heardAt > 2 * this.times.electionTimeoutMs;
		if (isAlone && now >= this.electionAt) {
			this.becomeFollower(this.term, now);
		} else if (now >= this.heartbeatAt) {
			this.broadcast(now);
		}
	}

	private leaseEnd(now: number): number {
		const acknowledgedAt = quorumValue(this.membership, id => (id === this.id ? now : this.progressOf(id).acknowledgedAt));
		return this.rules.leaseEnd(acknowledgedAt, this.times);
	}

	private appendAsLeader(entry: LogEntry): {index: number; term: number} {
		this.appendEntries([entry]);
		this.advanceCommit();
		return {index: entry.index, term: entry.term};
	}

	private broadcast(now: number): void {
		this.heartbeatAt = now + this.times.heartbeatMs;
		this.others().forEach(id => {
			this.sendEntries(id, now);
		});
	}

	private sendEntries(to: ReplicaId, now: number): void {
		const progress = this.progressOf(to);
		const prevIndex = progress.nextIndex - 1;
		const prevTerm = this.log.termAt(prevIndex);
		if (prevTerm === undefined) {
			this.sendSnapshot(to, progress, now);
			return;
		}

		const entries = this.log.read(progress.nextIndex, maxEntriesPerMessage);
		progress.nextIndex += entries.length;
		this.send({
			kind: MessageKind.AppendRequest, to, prevIndex, prevTerm, entries, commit: this.commitIndex, sentAt: now,
		});
	}

	private sendSnapshot(to: ReplicaId, progress: Progress, now: number): void {
		const {snapshot} = this.log;
		if (!snapshot || now - progress.snapshotSentAt < this.times.electionTimeoutMs) {
			return;
		}

		progress.snapshotSentAt = now;
		this.send({
			kind: MessageKind.SnapshotRequest, to, snapshot, sentAt: now,
		});
	}

	private handleAppendResponse(message: AppendResponse, now: number): void {
		if (this.role !== Role.Leader || message.term !== this.term) {
			return;
		}

		const progress = this.progressOf(message.from);
		progress.acknowledgedAt = Math.max(progress.acknowledgedAt, message.sentAt);
		if (!message.success) {
			progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(message.index, this.lastIndex + 1));
			this.sendEntries(message.from, now);
			return;
		}

		progress.matchIndex = Math.max(progress.matchIndex, message.index);
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		this.advanceCommit();
		if (progress.nextIndex <= this.lastIndex) {
			this.sendEntries(message.from, now);
		}
	}

	private advanceCommit(): void {
		const index = quorumValue(this.membership, id => (id === this.id ? this.lastIndex : this.progressOf(id).matchIndex));
		if (index > this.commitIndex && this.rules.mayCommit(this.log.termAt(index) ?? 0, this.term)) {
			this.commitIndex = index;
			this.stepDownIfRemoved();
		}
	}

	private stepDownIfRemoved(): void {
		const isRemoved = !this.membership.voters.includes(this.id) && !this.hasUncommittedMembership;
		if (isRemoved) {
			this.role = Role.Follower;
			this.leader = undefined;
		}
	}

	// Follower

	private acceptLeader(message: AppendRequest | SnapshotRequest, now: number): boolean {
		if (message.term < this.term) {
			this.send({
				kind: MessageKind.AppendResponse, to: message.from, success: false, index: this.lastIndex + 1, sentAt: message.sentAt,
			});
			return false;
		}

		this.role = Role.Follower;
		this.leader = message.from;
		this.quietUntil = now + this.times.electionTimeoutMs;
		this.resetElectionTimer(now);
		return true;
	}

	private handleAppend(message: AppendRequest, now: number): void {
		if (!this.acceptLeader(message, now)) {
			return;
		}

		const mismatch = this.findMismatch(message);
		if (mismatch !== undefined) {
			this.send({
				kind: MessageKind.AppendResponse, to: message.from, success: false, index: mismatch, sentAt: message.sentAt,
			});
			return;
		}

		const fresh = message.entries.find(entry => entry.index > this.commitIndex && this.log.termAt(entry.index) !== entry.term);
		const first = fresh;
		if (first) {
			this.truncateFrom(first.index);
			this.appendEntries(message.entries.filter(entry => entry.index >= first.index));
		}

		const lastNew = message.prevIndex + message.entries.length;
		this.commitIndex = Math.max(this.commitIndex, Math.min(message.commit, lastNew));
		this.send({
			kind: MessageKind.AppendResponse, to: message.from, success: true, index: lastNew, sentAt: message.sentAt,
		});
	}

	/** The index from which the leader should try again; undefined when the logs agree at `prevIndex`. */
	private findMismatch(message: AppendRequest): number | undefined {
		// All up to the commit index is equal everywhere.
		if (message.prevIndex <= this.commitIndex) {
			return undefined;
		}

		const ownTerm = this.log.termAt(message.prevIndex);
		if (ownTerm === message.prevTerm) {
			return undefined;
		}

		return ownTerm === undefined ? this.lastIndex + 1 : this.firstIndexOfTerm(ownTerm, message.prevIndex);
	}

	private firstIndexOfTerm(term: number, from: number): number {
		const candidates = this.log.read(this.commitIndex + 1, from - this.commitIndex);
		return candidates.find(entry => entry.term === term)?.index ?? from;
	}

	private handleSnapshot(message: SnapshotRequest, now: number): void {
		if (!this.acceptLeader(message, now)) {
			return;
		}

		const {snapshot} = message;
		if (snapshot.index > this.commitIndex) {
			this.log.reset(snapshot);
			this.membership = this.log.membershipAt();
			this.commitIndex = snapshot.index;
			this.emittedIndex = snapshot.index;
			this.restore = snapshot;
			this.pendingWrite = {snapshot, append: [], hardState: this.hardState};
			this.hasWrite = true;
		}

		this.send({
			kind: MessageKind.AppendResponse, to: message.from, success: true, index: snapshot.index, sentAt: message.sentAt,
		});
	}

	// Shared

	private appendEntries(entries: LogEntry[]): void {
		this.log.append(entries);
		this.pendingWrite.append.push(...entries);
		this.hasWrite = true;
		this.refreshMembership(entries.some(entry => entry.kind === EntryKind.Membership));
	}

	private truncateFrom(index: number): void {
		if (index > this.lastIndex) {
			return;
		}

		this.log.truncateFrom(index);
		const {truncateFrom, append} = this.pendingWrite;
		this.pendingWrite.truncateFrom = Math.min(truncateFrom ?? index, index);
		this.pendingWrite.append = append.filter(entry => entry.index < index);
		this.hasWrite = true;
		this.refreshMembership(true);
	}

	private refreshMembership(mayHaveChanged: boolean): void {
		if (mayHaveChanged) {
			this.membership = this.log.membershipAt();
		}
	}

	private setHardState(hardState: HardState): void {
		this.hardState = hardState;
		this.pendingWrite.hardState = hardState;
		this.hasWrite = true;
	}

	private resetElectionTimer(now: number): void {
		this.electionAt = now + (this.times.electionTimeoutMs * (1 + this.random()));
	}

	private others(): ReplicaId[] {
		return [...this.membership.voters, ...this.membership.learners].filter(id => id !== this.id);
	}

	private progressOf(id: ReplicaId): Progress {
		const known = this.progress.get(id);
		if (known) {
			return known;
		}

		const created: Progress = {
			nextIndex: this.lastIndex + 1, matchIndex: 0, acknowledgedAt: Number.NEGATIVE_INFINITY, snapshotSentAt: Number.NEGATIVE_INFINITY,
		};
		this.progress.set(id, created);
		return created;
	}

	private send(message: Unsent<Message>): void {
		this.messages.push({...message, from: this.id, term: message.term ?? this.term});
	}
}

const responseKind = (kind: VoteRequest['kind']): VoteResponse['kind'] =>
	(kind === MessageKind.PreVoteRequest ? MessageKind.PreVoteResponse : MessageKind.VoteResponse);
