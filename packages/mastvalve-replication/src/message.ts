/**
 * Messages between replicas.
 */

import type {LogEntry} from './log-entry.js';
import type {ReplicaId} from './membership.js';
import type {Snapshot} from './snapshot.js';

/** Kinds of messages. */
export enum MessageKind {
	PreVoteRequest = 'pre-vote-request',
	PreVoteResponse = 'pre-vote-response',
	VoteRequest = 'vote-request',
	VoteResponse = 'vote-response',
	AppendRequest = 'append-request',
	AppendResponse = 'append-response',
	SnapshotRequest = 'snapshot-request',
	TimeoutNow = 'timeout-now',
}

type Envelope = {from: ReplicaId; to: ReplicaId; term: number};

/** Asks for a vote; as a pre-vote it changes nothing at the receiver. */
export type VoteRequest = Envelope & {
	kind: MessageKind.VoteRequest | MessageKind.PreVoteRequest;
	lastIndex: number;
	lastTerm: number;
	/** The leader itself asked for this election, so its lease is no reason to refuse. */
	transfer: boolean;
};

/** Answers a vote request. */
export type VoteResponse = Envelope & {
	kind: MessageKind.VoteResponse | MessageKind.PreVoteResponse;
	granted: boolean;
};

/** Entries or a heartbeat from the leader. */
export type AppendRequest = Envelope & {
	kind: MessageKind.AppendRequest;
	prevIndex: number;
	prevTerm: number;
	entries: LogEntry[];
	commit: number;
	/** The leader's own clock, given back in the answer for its lease. */
	sentAt: number;
};

/** Answers entries, heartbeats and snapshots. */
export type AppendResponse = Envelope & {
	kind: MessageKind.AppendResponse;
	success: boolean;
	/** On success, the last index known to be equal; else, the index from which to try again. */
	index: number;
	sentAt: number;
};

/** A whole snapshot from the leader. */
export type SnapshotRequest = Envelope & {
	kind: MessageKind.SnapshotRequest;
	snapshot: Snapshot;
	sentAt: number;
};

/** The leader hands over: start an election at once. */
export type TimeoutNow = Envelope & {kind: MessageKind.TimeoutNow};

/** Any message. */
export type Message = VoteRequest | VoteResponse | AppendRequest | AppendResponse | SnapshotRequest | TimeoutNow;
