/**
 * Options of a replica: timing, safety rules and restored state.
 */

import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Membership, ReplicaId} from './membership.js';
import type {Snapshot} from './snapshot.js';

export type ReplicaTimes = {
	/** Lower bound of the election timeout, ms. Each timeout is drawn at random between this and twice this. */
	electionTimeoutMs: number;
	heartbeatMs: number;
	/** Maximum relative difference in rate between two clocks, as a fraction. */
	maxClockDrift: number;
};

/** Defaults for instances with a network latency of some milliseconds. */
export const defaultReplicaTimes: ReplicaTimes = {electionTimeoutMs: 600, heartbeatMs: 120, maxClockDrift: 0.1};

/** Decisions on which safety depends. They are functions so that the proofs can inject faulty ones and must detect them. */
export type ReplicaRules = {
	/** Whether a candidate's log is at least as up to date as the voter's own. */
	isLogUpToDate: (candidate: {lastIndex: number; lastTerm: number}, own: {lastIndex: number; lastTerm: number}) => boolean;
	/** Whether a vote may be granted in a term in which `votedFor` may already have received one. */
	mayGrantVote: (votedFor: ReplicaId | undefined, candidate: ReplicaId) => boolean;
	/** Whether an entry replicated to a majority may be committed by counting replicas. */
	mayCommit: (entryTerm: number, currentTerm: number) => boolean;
	/** Returns the expiry of the lease, given the send time of the newest message that a majority has acknowledged, ms. */
	computeLeaseEnd: (acknowledgedAt: number, times: ReplicaTimes) => number;
	/** Whether a leader may append a membership while an earlier one may be uncommitted. */
	mayChangeMembership: (hasUncommittedMembership: boolean) => boolean;
};

/** Rules of Raft (Ongaro and Ousterhout, 2014; Ongaro's thesis, 2014). */
export const defaultReplicaRules: ReplicaRules = {
	isLogUpToDate: (candidate, own) =>
		candidate.lastTerm > own.lastTerm || (candidate.lastTerm === own.lastTerm && candidate.lastIndex >= own.lastIndex),
	mayGrantVote: (votedFor, candidate) => votedFor === undefined || votedFor === candidate,
	mayCommit: (entryTerm, currentTerm) => entryTerm === currentTerm,
	computeLeaseEnd: (acknowledgedAt, times) => acknowledgedAt + (times.electionTimeoutMs * (1 - times.maxClockDrift)),
	mayChangeMembership: hasUncommittedMembership => !hasUncommittedMembership,
};

/** State recovered from storage. */
export type RestoredState = {
	hardState: HardState;
	snapshot: Snapshot | undefined;
	entries: LogEntry[];
};

export type ReplicaOptions = {
	id: ReplicaId;
	/** Membership in effect before the first snapshot or membership entry. */
	initialMembership: Membership;
	restored: RestoredState;
	times: ReplicaTimes;
	rules: ReplicaRules;
	/** Returns random numbers in [0, 1). */
	random: () => number;
	/** Monotonic time at creation, ms. */
	now: number;
	/**
	 * Monotonic time at which the process started, ms: the latest time at which an earlier process of this replica can have
	 * acknowledged a message. The initial vote and election timeouts start from here. Defaults to `now`.
	 */
	processStartedAt?: number;
	/** Number of entries before a snapshot to keep in memory, for replicas that are slightly behind. */
	trailingEntries?: number;
};
