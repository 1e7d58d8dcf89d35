/**
 * Times and rules of a replica.
 */

import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Membership, ReplicaId} from './membership.js';
import type {Snapshot} from './snapshot.js';

/** Times in milliseconds. */
export type ReplicaTimes = {
	/** A follower that hears nothing for this long, up to twice as long, stands for election. */
	electionTimeoutMs: number;
	heartbeatMs: number;
	/** By how much two clocks may differ in speed, as a share. */
	maxClockDrift: number;
};

/** Times that suit instances some milliseconds apart. */
export const defaultReplicaTimes: ReplicaTimes = {electionTimeoutMs: 600, heartbeatMs: 120, maxClockDrift: 0.1};

/**
 * The decisions on which safety rests, as functions, so that proofs can hand in a broken one and must catch it.
 */
export type ReplicaRules = {
	/** Whether a candidate's log is complete enough to be voted for. */
	isLogUpToDate: (candidate: {lastIndex: number; lastTerm: number}, own: {lastIndex: number; lastTerm: number}) => boolean;
	/** Whether a second vote in a term may be given. */
	mayGrantVote: (votedFor: ReplicaId | undefined, candidate: ReplicaId) => boolean;
	/** Whether an entry that a majority holds may be committed by counting. */
	mayCommit: (entryTerm: number, currentTerm: number) => boolean;
	/** Until when the lease holds, from the time at which a majority was last sent what it has acknowledged. */
	computeLeaseEnd: (acknowledgedAt: number, times: ReplicaTimes) => number;
	/** Whether a leader with an uncommitted membership may append another one. */
	mayChangeMembership: (hasUncommittedMembership: boolean) => boolean;
};

/** Raft's rules (Ongaro and Ousterhout, 2014, and Ongaro's thesis). */
export const defaultReplicaRules: ReplicaRules = {
	isLogUpToDate: (candidate, own) =>
		candidate.lastTerm > own.lastTerm || (candidate.lastTerm === own.lastTerm && candidate.lastIndex >= own.lastIndex),
	mayGrantVote: (votedFor, candidate) => votedFor === undefined || votedFor === candidate,
	mayCommit: (entryTerm, currentTerm) => entryTerm === currentTerm,
	computeLeaseEnd: (acknowledgedAt, times) => acknowledgedAt + (times.electionTimeoutMs * (1 - times.maxClockDrift)),
	mayChangeMembership: hasUncommittedMembership => !hasUncommittedMembership,
};

/** What storage gave back at the start. */
export type RestoredState = {
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: LogEntry[];
};

/** What a replica is made from. */
export type ReplicaOptions = {
	id: ReplicaId;
	/** Membership before any entry or snapshot. */
	initialMembership: Membership;
	restored: RestoredState;
	times: ReplicaTimes;
	rules: ReplicaRules;
	/** Numbers in [0, 1). */
	random: () => number;
	/** Monotonic time of the start, ms. */
	now: number;
	/**
	 * The latest time at which a former life of this replica can have acknowledged anything, ms: the start of the process.
	 * Votes and elections wait from then on. The time of the start of the replica when left out.
	 */
	processStartedAt?: number;
	/** Entries kept in memory behind a snapshot, for replicas that are a little behind. */
	trailingEntries?: number;
};
