/**
 * Messages between replicas.
 */

import type {LogEntry} from './log-entry.js';
import type {ReplicaId} from './membership.js';
import type {Snapshot} from './snapshot.js';

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

/** Requests a vote. A pre-vote request leaves the receiver's term and vote unchanged. */
export type VoteRequest = Envelope & {
	kind: MessageKind.VoteRequest | MessageKind.PreVoteRequest;
	lastIndex: number;
	lastTerm: number;
	/** Whether the leader itself started this election by a transfer; its lease is then no reason to refuse the vote. */
	transfer: boolean;
};

export type VoteResponse = Envelope & {
	kind: MessageKind.VoteResponse | MessageKind.PreVoteResponse;
	granted: boolean;
};

/** Log entries from the leader; a heartbeat when `entries` is empty. */
export type AppendRequest = Envelope & {
	kind: MessageKind.AppendRequest;
	prevIndex: number;
	prevTerm: number;
	entries: LogEntry[];
	commit: number;
	/** Time on the leader's clock, ms; echoed in the response, where it extends the leader's lease. */
	sentAt: number;
};

/** Response to entries, heartbeats and snapshots. */
export type AppendResponse = Envelope & {
	kind: MessageKind.AppendResponse;
	success: boolean;
	/** On success, the last index known to match the leader's log; otherwise, the index from which to retry. */
	index: number;
	/** `sentAt` of the request. */
	sentAt: number;
};

/** Complete snapshot from the leader. */
export type SnapshotRequest = Envelope & {
	kind: MessageKind.SnapshotRequest;
	snapshot: Snapshot;
	sentAt: number;
};

/** Leadership transfer: the receiver starts an election immediately. */
export type TimeoutNow = Envelope & {kind: MessageKind.TimeoutNow};

export type Message = VoteRequest | VoteResponse | AppendRequest | AppendResponse | SnapshotRequest | TimeoutNow;
