/**
 * One replica of the log as a pure state machine: messages, proposals and time go in; writes, messages and committed
 * entries come out. It opens no socket or file and reads no clock, so that tests can drive it through any order of
 * loss, delay, repeat and crash.
 *
 * The algorithm is Raft with pre-vote, leader lease, leadership transfer, snapshots and single-server membership
 * changes (Ongaro's thesis, 2014, chapters 3 to 6 and 9.6). Its parts: elections, leadership and following.
 */

import type {Effects} from './effects.js';
import {EntryKind} from './log-entry.js';
import type {Membership, ReplicaId} from './membership.js';
import {MessageKind, type Message} from './message.js';
import {Role, ReplicaCore} from './replica-core.js';
import {
	handleVoteRequest, handleVoteResponse, isDisruptive, refuseVote, startElection, startPreVote,
} from './replica-election.js';
import {handleAppendRequest, handleSnapshotRequest} from './replica-following.js';
import {
	appendAsLeader, handleAppendResponse, computeLeaseEnd, sendEntries, tickLeader,
} from './replica-leadership.js';
import type {ReplicaOptions} from './replica-options.js';
import type {Snapshot} from './snapshot.js';

/** One replica. Call any of its inputs, then carry out what `takeEffects` gives. */
export class Replica {
	private readonly core: ReplicaCore;

	constructor(options: ReplicaOptions) {
		this.core = new ReplicaCore(options);
	}

	get id(): ReplicaId {
		return this.core.id;
	}

	get role(): Role {
		return this.core.role;
	}

	get leader(): ReplicaId | undefined {
		return this.core.leader;
	}

	get commitIndex(): number {
		return this.core.commitIndex;
	}

	/** When this replica last became leader, in the clock given to it. */
	get leaderSince(): number {
		return this.core.leaderSince;
	}

	get term(): number {
		return this.core.term;
	}

	get lastIndex(): number {
		return this.core.lastIndex;
	}

	/** Entries in memory. */
	get logLength(): number {
		return this.core.log.lastIndex - this.core.log.firstIndex + 1;
	}

	get currentMembership(): Membership {
		return this.core.membership;
	}

	/** Whether a membership change still waits to be committed. */
	get hasUncommittedMembership(): boolean {
		return this.core.hasUncommittedMembership;
	}

	/** When `tick` next has something to do, in the clock given to it. */
	get nextTimerAt(): number {
		return this.core.role === Role.Leader ? Math.min(this.core.nextHeartbeatAt, this.core.transferringUntil ?? Number.POSITIVE_INFINITY) : this.core.nextElectionAt;
	}

	/** Whether reads of committed state are linearizable at this moment. */
	hasReadLease(now: number): boolean {
		return this.core.role === Role.Leader
			&& this.core.commitIndex >= this.core.termStartIndex
			&& this.core.transferringUntil === undefined
			&& now < computeLeaseEnd(this.core, now);
	}

	/** Whether a learner has all that is committed and answers. */
	isCaughtUp(id: ReplicaId, now: number): boolean {
		const progress = this.core.progress.get(id);
		return progress !== undefined
			&& progress.matchIndex >= this.core.commitIndex
			&& now - progress.acknowledgedAt < this.core.times.electionTimeoutMs;
	}

	/** When this replica last heard from the leader that it follows; undefined without one. */
	leaderContactAt(now: number): number | undefined {
		if (this.core.role === Role.Leader) {
			return this.hasReadLease(now) ? now : undefined;
		}

		const heardAt = this.core.votesWithheldUntil - this.core.times.electionTimeoutMs;
		return this.core.leader === undefined || heardAt <= this.core.contactsValidAfter ? undefined : heardAt;
	}

	/**
	 * What was heard up to `now` may be older than the clock says: leases and what was heard of a leader begin anew. The clock may have stood still at this very
	 * moment, so a heartbeat that counts must be sent at a later one.
	 */
	invalidateContacts(now: number): void {
		this.core.contactsValidAfter = now;
		this.core.nextHeartbeatAt = Math.min(this.core.nextHeartbeatAt, now + 1);
	}

	/** When another replica last answered this leader; 0 or less when it never did. */
	acknowledgedAt(id: ReplicaId): number {
		return this.core.progress.get(id)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Time goes on. */
	tick(now: number): void {
		if (this.core.role === Role.Leader) {
			tickLeader(this.core, now);
		} else if (now >= this.core.nextElectionAt && this.core.membership.voters.includes(this.core.id)) {
			startPreVote(this.core, now);
		}
	}

	/** Appends a command; its index and term, or undefined when this isn't the leader. */
	propose(command: unknown): {index: number; term: number} | undefined {
		if (this.core.role !== Role.Leader || this.core.transferringUntil !== undefined) {
			return undefined;
		}

		return appendAsLeader(this.core, {
			index: this.core.lastIndex + 1, term: this.core.term, kind: EntryKind.Command, command,
		});
	}

	/** Appends a membership that differs by one replica; refused while another change is under way. */
	proposeMembership(membership: Membership): {index: number; term: number} | undefined {
		const isReady = this.core.role === Role.Leader && this.core.commitIndex >= this.core.termStartIndex && this.core.transferringUntil === undefined;
		if (!isReady || !this.core.rules.mayChangeMembership(this.core.hasUncommittedMembership)) {
			return undefined;
		}

		return appendAsLeader(this.core, {
			index: this.core.lastIndex + 1, term: this.core.term, kind: EntryKind.Membership, membership,
		});
	}

	/** Sends what waits to all others; called once after a batch of proposals. */
	flush(now: number): void {
		if (this.core.role === Role.Leader) {
			this.core.otherReplicas().filter(id => this.core.getProgress(id).nextIndex <= this.core.lastIndex).forEach(id => {
				sendEntries(this.core, id, now);
			});
		}
	}

	/** Hands leadership to the voter that is furthest along. The lease ends at once and for this term. */
	transferLeadership(now: number): void {
		const target = this.core.otherReplicas()
			.filter(id => this.core.membership.voters.includes(id) && this.isCaughtUp(id, now))
			.toSorted((a, b) => this.core.getProgress(b).matchIndex - this.core.getProgress(a).matchIndex)[0];
		if (this.core.role === Role.Leader && target) {
			this.core.transferringUntil = now + (2 * this.core.times.electionTimeoutMs);
			this.core.send({kind: MessageKind.TimeoutNow, to: target});
		}
	}

	/** Takes in a snapshot of the state machine at an applied index, and forgets what it covers. */
	compact(index: number, data: unknown): void {
		const term = this.core.log.termAt(index);
		if (term === undefined || index > this.core.emittedIndex || index <= (this.core.log.snapshot?.index ?? 0)) {
			return;
		}

		const snapshot: Snapshot = {
			index, term, membership: this.core.log.membershipAt(index), data,
		};
		// Replicas that are behind the snapshot before this one get this one: entries are kept by number, but may be large.
		const sinceFormer = index - (this.core.log.snapshot?.index ?? 0);
		this.core.log.compact(snapshot, Math.min(this.core.trailingEntries, sinceFormer));
		this.core.pendingWrite = {
			...this.core.pendingWrite, snapshot, truncateFrom: undefined, append: this.core.log.read(index + 1), hardState: this.core.hardState,
		};
		this.core.hasWrite = true;
	}

	/** Takes in a message. */
	receive(message: Message, now: number): void {
		const isVoteRequest = message.kind === MessageKind.VoteRequest || message.kind === MessageKind.PreVoteRequest;
		if (isVoteRequest && isDisruptive(this.core, message, now)) {
			refuseVote(this.core, message);
			return;
		}

		const isPreVote = message.kind === MessageKind.PreVoteRequest || (message.kind === MessageKind.PreVoteResponse && message.granted);
		if (message.term > this.core.term && !isPreVote) {
			this.core.becomeFollower(message.term, now);
		}

		switch (message.kind) {
			case MessageKind.PreVoteRequest:
			case MessageKind.VoteRequest: {
				handleVoteRequest(this.core, message, now);
				break;
			}

			case MessageKind.PreVoteResponse:
			case MessageKind.VoteResponse: {
				handleVoteResponse(this.core, message, now);
				break;
			}

			case MessageKind.AppendRequest: {
				handleAppendRequest(this.core, message, now);
				break;
			}

			case MessageKind.AppendResponse: {
				handleAppendResponse(this.core, message, now);
				break;
			}

			case MessageKind.SnapshotRequest: {
				handleSnapshotRequest(this.core, message, now);
				break;
			}

			case MessageKind.TimeoutNow: {
				if (message.term === this.core.term && this.core.role !== Role.Leader && this.core.membership.voters.includes(this.core.id)) {
					startElection(this.core, now, true);
				}
			}
		}
	}

	/** What must be written, sent and applied since the last call. */
	takeEffects(): Effects {
		const committed = this.core.log.read(this.core.emittedIndex + 1, this.core.commitIndex - this.core.emittedIndex);
		this.core.emittedIndex = this.core.commitIndex;
		const effects: Effects = {
			write: this.core.hasWrite ? this.core.pendingWrite : undefined,
			messages: this.core.messages,
			snapshotToRestore: this.core.snapshotToRestore,
			committed,
		};
		this.core.pendingWrite = {append: []};
		this.core.hasWrite = false;
		this.core.messages = [];
		this.core.snapshotToRestore = undefined;
		return effects;
	}
}
