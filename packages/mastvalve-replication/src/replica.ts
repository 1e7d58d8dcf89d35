/**
 * One replica of the log as a pure state machine. Its inputs are messages, proposals and time; its outputs are writes,
 * messages and committed entries. It opens no sockets or files and reads no clock, so that tests can drive it through
 * any order of message loss, delay, duplication and crashes.
 *
 * The algorithm is Raft with pre-vote, leader lease, leadership transfer, snapshots and single-server membership
 * changes (Ongaro's thesis, 2014, chapters 3 to 6 and 9.6), divided into elections, leadership and following.
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

/** Replica of the log. After any number of inputs, the caller carries out the result of `takeEffects`. Times are on the caller's clock, ms. */
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

	/** When this replica last became leader; negative infinity if it never did. */
	get leaderSince(): number {
		return this.core.leaderSince;
	}

	get term(): number {
		return this.core.term;
	}

	get lastIndex(): number {
		return this.core.lastIndex;
	}

	/** Number of entries held in memory. */
	get logLength(): number {
		return this.core.log.lastIndex - this.core.log.firstIndex + 1;
	}

	get currentMembership(): Membership {
		return this.core.membership;
	}

	/** Whether the newest membership entry is not committed yet. */
	get hasUncommittedMembership(): boolean {
		return this.core.hasUncommittedMembership;
	}

	/** When `tick` is next due. */
	get nextTimerAt(): number {
		return this.core.role === Role.Leader ? Math.min(this.core.nextHeartbeatAt, this.core.transferringUntil ?? Number.POSITIVE_INFINITY) : this.core.nextElectionAt;
	}

	/** Whether this replica leads with a valid lease, so that reads of the committed state are linearizable at `now`. */
	hasReadLease(now: number): boolean {
		return this.core.role === Role.Leader
			&& this.core.commitIndex >= this.core.termStartIndex
			&& this.core.transferringUntil === undefined
			&& now < computeLeaseEnd(this.core, now);
	}

	/** Whether another replica holds every committed entry and has acknowledged a message within the election timeout. */
	isCaughtUp(id: ReplicaId, now: number): boolean {
		const progress = this.core.progress.get(id);
		return progress !== undefined
			&& progress.matchIndex >= this.core.commitIndex
			&& now - progress.acknowledgedAt < this.core.times.electionTimeoutMs;
	}

	/** Returns when the current leader last made contact; `now` for a leader with a valid lease, undefined without a known leader. */
	leaderContactAt(now: number): number | undefined {
		if (this.core.role === Role.Leader) {
			return this.hasReadLease(now) ? now : undefined;
		}

		const contactAt = this.core.votesWithheldUntil - this.core.times.electionTimeoutMs;
		return this.core.leader === undefined || contactAt <= this.core.contactsValidAfter ? undefined : contactAt;
	}

	/**
	 * Invalidates all contacts up to `now`, which may be older than the clock shows, so that leases and leader contact start
	 * over. The clock may have stood still at `now`, so the next heartbeat that counts is sent at a later time.
	 */
	invalidateContacts(now: number): void {
		this.core.contactsValidAfter = now;
		this.core.nextHeartbeatAt = Math.min(this.core.nextHeartbeatAt, now + 1);
	}

	/** Returns the send time of the newest message that another replica has acknowledged; negative infinity if there is none. */
	acknowledgedAt(id: ReplicaId): number {
		return this.core.progress.get(id)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY;
	}

	/** Runs the timers that have expired. */
	tick(now: number): void {
		if (this.core.role === Role.Leader) {
			tickLeader(this.core, now);
		} else if (now >= this.core.nextElectionAt && this.core.membership.voters.includes(this.core.id)) {
			startPreVote(this.core, now);
		}
	}

	/** Appends a command and returns its position; undefined when this replica is not the leader or is transferring leadership. */
	propose(command: unknown): {index: number; term: number} | undefined {
		if (this.core.role !== Role.Leader || this.core.transferringUntil !== undefined) {
			return undefined;
		}

		return appendAsLeader(this.core, {
			index: this.core.lastIndex + 1, term: this.core.term, kind: EntryKind.Command, command,
		});
	}

	/**
	 * Appends a membership that differs by one replica and returns its position. Returns undefined when this replica is not the
	 * leader, has not committed an entry of its term, is transferring leadership, or has an uncommitted membership.
	 */
	proposeMembership(membership: Membership): {index: number; term: number} | undefined {
		const canChangeMembership = this.core.role === Role.Leader && this.core.commitIndex >= this.core.termStartIndex && this.core.transferringUntil === undefined;
		if (!canChangeMembership || !this.core.rules.mayChangeMembership(this.core.hasUncommittedMembership)) {
			return undefined;
		}

		return appendAsLeader(this.core, {
			index: this.core.lastIndex + 1, term: this.core.term, kind: EntryKind.Membership, membership,
		});
	}

	/** Sends unsent entries to all other replicas; called once after a batch of proposals. */
	flush(now: number): void {
		if (this.core.role === Role.Leader) {
			this.core.listOtherReplicas().filter(id => this.core.getProgress(id).nextIndex <= this.core.lastIndex).forEach(id => {
				sendEntries(this.core, id, now);
			});
		}
	}

	/** Transfers leadership to the most advanced voter that is caught up. The lease ends immediately and for the rest of the term. */
	transferLeadership(now: number): void {
		const target = this.core.listOtherReplicas()
			.filter(id => this.core.membership.voters.includes(id) && this.isCaughtUp(id, now))
			.toSorted((a, b) => this.core.getProgress(b).matchIndex - this.core.getProgress(a).matchIndex)[0];
		if (this.core.role === Role.Leader && target) {
			this.core.transferringUntil = now + (2 * this.core.times.electionTimeoutMs);
			this.core.send({kind: MessageKind.TimeoutNow, to: target});
		}
	}

	/** Stores a snapshot of the state machine at an applied index and compacts the log. Does nothing unless it is newer than the last one. */
	compact(index: number, data: unknown): void {
		const term = this.core.log.termAt(index);
		if (term === undefined || index > this.core.emittedIndex || index <= (this.core.log.snapshot?.index ?? 0)) {
			return;
		}

		const snapshot: Snapshot = {
			index, term, membership: this.core.log.membershipAt(index), data,
		};
		// Entries before the previous snapshot are dropped, because trailing entries are limited by number and may be large; replicas that need them receive this snapshot.
		const sincePrevious = index - (this.core.log.snapshot?.index ?? 0);
		this.core.log.compact(snapshot, Math.min(this.core.trailingEntries, sincePrevious));
		this.core.pendingWrite = {
			...this.core.pendingWrite, snapshot, truncateFrom: undefined, append: this.core.log.read(index + 1), hardState: this.core.hardState,
		};
		this.core.hasWrite = true;
	}

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

	/** Returns the effects accumulated since the last call, and clears them. */
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
