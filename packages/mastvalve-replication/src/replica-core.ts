/**
 * State of a replica, and the operations on it that elections, leadership and following share.
 */

import type {DurableWrite} from './effects.js';
import type {HardState} from './hard-state.js';
import {EntryKind, type LogEntry} from './log-entry.js';
import type {Membership, ReplicaId} from './membership.js';
import {MemoryLog} from './memory-log.js';
import type {Message} from './message.js';
import type {ReplicaOptions, ReplicaRules, ReplicaTimes} from './replica-options.js';
import type {Snapshot} from './snapshot.js';

export enum Role {
	Follower = 'follower',
	PreCandidate = 'pre-candidate',
	Candidate = 'candidate',
	Leader = 'leader',
}

/** A leader's record of another replica. Times are on the leader's clock, ms. */
export type Progress = {
	nextIndex: number;
	matchIndex: number;
	/** Send time of the newest acknowledged message; negative infinity before the first. */
	acknowledgedAt: number;
	/** When a snapshot was last sent; at most one is sent per election timeout. */
	snapshotSentAt: number;
	/** When entries were last resent after a rejection; rejections of messages sent earlier are ignored. */
	resentAt: number;
};

/** Message without its sender, and without its term unless that differs from the current one. */
type Unsent<M> = M extends Message ? Omit<M, 'from' | 'term'> & {term?: number} : never;

const defaultTrailingEntries = 1000;

/** Mutable state of one replica. All times are on the clock passed to the replica, ms. */
export class ReplicaCore {
	readonly id: ReplicaId;
	role = Role.Follower;
	leader: ReplicaId | undefined;
	commitIndex: number;
	/** When this replica last became leader. */
	leaderSince = Number.NEGATIVE_INFINITY;

	readonly times: ReplicaTimes;
	readonly rules: ReplicaRules;
	readonly random: () => number;
	readonly trailingEntries: number;
	readonly log: MemoryLog;
	hardState: HardState;
	membership: Membership;

	nextElectionAt = 0;
	nextHeartbeatAt = 0;
	/** Votes are withheld until this time, because a leader may hold a lease that depends on it. */
	votesWithheldUntil: number;
	/** Contacts up to and including this time do not count towards leases; inclusive because the clock may have stood still at that moment. */
	contactsValidAfter = Number.NEGATIVE_INFINITY;
	votes = new Set<ReplicaId>();
	progress = new Map<ReplicaId, Progress>();
	termStartIndex = 0;
	transferringUntil: number | undefined;
	/** Index of the last entry handed out in `Effects.committed` or covered by a restored snapshot. */
	emittedIndex: number;

	pendingWrite: DurableWrite = {append: []};
	hasWrite = false;
	messages: Message[] = [];
	snapshotToRestore: Snapshot | undefined;

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
		// An earlier process of this replica may have acknowledged a heartbeat that still extends a leader's lease.
		const processStartedAt = options.processStartedAt ?? options.now;
		this.votesWithheldUntil = processStartedAt + options.times.electionTimeoutMs;
		this.resetElectionTimer(processStartedAt);
	}

	get term(): number {
		return this.hardState.term;
	}

	get lastIndex(): number {
		return this.log.lastIndex;
	}

	/** Whether the newest membership entry is not committed yet. */
	get hasUncommittedMembership(): boolean {
		return this.log.lastMembershipIndex() > this.commitIndex;
	}

	/** Becomes a follower without a known leader. A vote already granted in the same term is kept. */
	becomeFollower(term: number, now: number): void {
		if (term > this.term) {
			this.setHardState({term});
		}

		this.role = Role.Follower;
		this.leader = undefined;
		this.transferringUntil = undefined;
		this.resetElectionTimer(now);
	}

	/** Appends entries to the log and to the pending write. */
	appendEntries(entries: LogEntry[]): void {
		this.log.append(entries);
		this.pendingWrite.append.push(...entries);
		this.hasWrite = true;
		this.refreshMembership(entries.some(entry => entry.kind === EntryKind.Membership));
	}

	/** Discards the entries from `index` on, in the log and in the pending write. */
	truncateFrom(index: number): void {
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

	/** Rereads the membership from the log if it may have changed. */
	refreshMembership(mayHaveChanged: boolean): void {
		if (mayHaveChanged) {
			this.membership = this.log.membershipAt();
		}
	}

	/** Sets term and vote and adds them to the pending write, which is durable before any message is sent. */
	setHardState(hardState: HardState): void {
		this.hardState = hardState;
		this.pendingWrite.hardState = hardState;
		this.hasWrite = true;
	}

	/** Restarts the election timer with a random timeout. */
	resetElectionTimer(now: number): void {
		this.nextElectionAt = now + (this.times.electionTimeoutMs * (1 + this.random()));
	}

	/** Returns all voters and learners except this replica. */
	listOtherReplicas(): ReplicaId[] {
		return [...this.membership.voters, ...this.membership.learners].filter(id => id !== this.id);
	}

	/** Returns the progress of another replica, creating it on first use. */
	getProgress(id: ReplicaId): Progress {
		const existing = this.progress.get(id);
		if (existing) {
			return existing;
		}

		const created: Progress = {
			nextIndex: this.lastIndex + 1, matchIndex: 0, acknowledgedAt: Number.NEGATIVE_INFINITY, snapshotSentAt: Number.NEGATIVE_INFINITY, resentAt: Number.NEGATIVE_INFINITY,
		};
		this.progress.set(id, created);
		return created;
	}

	/** Queues a message for the next effects. */
	send(message: Unsent<Message>): void {
		this.messages.push({...message, from: this.id, term: message.term ?? this.term});
	}
}
