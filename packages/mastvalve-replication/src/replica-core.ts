/**
 * The state of a replica that its elections, its leadership and its following work on, with what they share.
 */

import type {DurableWrite} from './effects.js';
import type {HardState} from './hard-state.js';
import {EntryKind, type LogEntry} from './log-entry.js';
import type {Membership, ReplicaId} from './membership.js';
import {MemoryLog} from './memory-log.js';
import type {Message} from './message.js';
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
export type Progress = {
	nextIndex: number;
	matchIndex: number;
	/** The leader's clock when it sent what was last acknowledged. */
	acknowledgedAt: number;
	/** When a snapshot was last sent; it isn't sent again at once. */
	snapshotSentAt: number;
	/** When entries were last sent anew because of a refusal; refusals of what was sent before say nothing new. */
	resentAt: number;
};

/** A message before sender and term are put on. */
type Unsent<M> = M extends Message ? Omit<M, 'from' | 'term'> & {term?: number} : never;

const defaultTrailingEntries = 1000;

/** The state. */
export class ReplicaCore {
	readonly id: ReplicaId;
	role = Role.Follower;
	leader: ReplicaId | undefined;
	commitIndex: number;
	/** When this replica last became leader, in the clock given to it. */
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
	/** No vote is given before this time: a leader may hold a lease on our silence. */
	votesWithheldUntil: number;
	/** What was heard up to then doesn't count for leases, in the clock given to the core; it may have stood still at that moment. */
	contactsValidAfter = Number.NEGATIVE_INFINITY;
	votes = new Set<ReplicaId>();
	progress = new Map<ReplicaId, Progress>();
	termStartIndex = 0;
	transferringUntil: number | undefined;
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
		// Before a restart we may have acknowledged a heartbeat on which a lease still rests.
		const quietSince = options.processStartedAt ?? options.now;
		this.votesWithheldUntil = quietSince + options.times.electionTimeoutMs;
		this.resetElectionTimer(quietSince);
	}

	get term(): number {
		return this.hardState.term;
	}

	get lastIndex(): number {
		return this.log.lastIndex;
	}

	/** Whether a membership change still waits to be committed. */
	get hasUncommittedMembership(): boolean {
		return this.log.lastMembershipIndex() > this.commitIndex;
	}

	/** Follows nobody yet in a term; a vote given in it stays. */
	becomeFollower(term: number, now: number): void {
		if (term > this.term) {
			this.setHardState({term});
		}

		this.role = Role.Follower;
		this.leader = undefined;
		this.transferringUntil = undefined;
		this.resetElectionTimer(now);
	}

	/** Appends entries to the log and to the next write. */
	appendEntries(entries: LogEntry[]): void {
		this.log.append(entries);
		this.pendingWrite.append.push(...entries);
		this.hasWrite = true;
		this.refreshMembership(entries.some(entry => entry.kind === EntryKind.Membership));
	}

	/** Drops entries from an index on, in the log and in the next write. */
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

	/** Takes the membership from the log after a change of it. */
	refreshMembership(mayHaveChanged: boolean): void {
		if (mayHaveChanged) {
			this.membership = this.log.membershipAt();
		}
	}

	/** Term and vote, to be durable before anything is sent. */
	setHardState(hardState: HardState): void {
		this.hardState = hardState;
		this.pendingWrite.hardState = hardState;
		this.hasWrite = true;
	}

	/** Draws the time of the next election. */
	resetElectionTimer(now: number): void {
		this.nextElectionAt = now + (this.times.electionTimeoutMs * (1 + this.random()));
	}

	/** All members but this one. */
	otherReplicas(): ReplicaId[] {
		return [...this.membership.voters, ...this.membership.learners].filter(id => id !== this.id);
	}

	/** What this leader knows of another replica. */
	getProgress(id: ReplicaId): Progress {
		const known = this.progress.get(id);
		if (known) {
			return known;
		}

		const created: Progress = {
			nextIndex: this.lastIndex + 1, matchIndex: 0, acknowledgedAt: Number.NEGATIVE_INFINITY, snapshotSentAt: Number.NEGATIVE_INFINITY, resentAt: Number.NEGATIVE_INFINITY,
		};
		this.progress.set(id, created);
		return created;
	}

	/** Sends a message with the next effects. */
	send(message: Unsent<Message>): void {
		this.messages.push({...message, from: this.id, term: message.term ?? this.term});
	}
}
