/**
 * Leadership: sends heartbeats, entries and snapshots, and advances the commit index (Ongaro's thesis, 2014, sections
 * 3.5, 3.6 and 6.4.1).
 */

import {estimateEntrySize, takeUpToSize} from './entry-size.js';
import {EntryKind, type LogEntry} from './log-entry.js';
import {quorumValue, type ReplicaId} from './membership.js';
import {MessageKind, type AppendResponse} from './message.js';
import {Role, type Progress, type ReplicaCore} from './replica-core.js';

const maxEntriesPerMessage = 512;
/**
 * Limits the size of the entries in one message, so that a replica that is far behind receives them at its own pace. 256 KB
 * take 2 ms on a link of 1,000 Mbit/s. A larger entry is sent in a message of its own.
 */
const maxBytesPerMessage = 262_144;

/** Makes this replica the leader and appends a no-op, because entries of earlier terms commit only with one of the current term. */
export const becomeLeader = (core: ReplicaCore, now: number): void => {
	core.role = Role.Leader;
	core.leader = core.id;
	core.leaderSince = now;
	core.transferringUntil = undefined;
	core.progress = new Map();
	core.termStartIndex = core.lastIndex + 1;
	// Time within which a new leader must receive acknowledgements from a majority before it steps down.
	core.nextElectionAt = now + (2 * core.times.electionTimeoutMs);
	appendAsLeader(core, {index: core.termStartIndex, term: core.term, kind: EntryKind.NoOp});
	broadcast(core, now);
};

/** Sends heartbeats when due. Steps down after losing contact with a majority for two election timeouts, or when a transfer has timed out. */
export const tickLeader = (core: ReplicaCore, now: number): void => {
	if (core.transferringUntil !== undefined && now >= core.transferringUntil) {
		core.becomeFollower(core.term, now);
		return;
	}

	const quorumContactAt = quorumValue(core.membership, id => (id === core.id ? now : core.getProgress(id).acknowledgedAt));
	const hasLostQuorum = now - quorumContactAt > 2 * core.times.electionTimeoutMs;
	if (hasLostQuorum && now >= core.nextElectionAt) {
		core.becomeFollower(core.term, now);
	} else if (now >= core.nextHeartbeatAt) {
		broadcast(core, now);
	}
};

/** Returns the time until which no other replica can become leader, on this replica's clock. */
export const computeLeaseEnd = (core: ReplicaCore, now: number): number => {
	const acknowledgedAt = quorumValue(core.membership, id => {
		const at = id === core.id ? now : core.getProgress(id).acknowledgedAt;
		return at <= core.contactsValidAfter ? Number.NEGATIVE_INFINITY : at;
	});
	return core.rules.computeLeaseEnd(acknowledgedAt, core.times);
};

/** Appends an entry, to be sent with the next flush or heartbeat. */
export const appendAsLeader = (core: ReplicaCore, entry: LogEntry): {index: number; term: number} => {
	core.appendEntries([entry]);
	advanceCommit(core);
	return {index: entry.index, term: entry.term};
};

const broadcast = (core: ReplicaCore, now: number): void => {
	core.nextHeartbeatAt = now + core.times.heartbeatMs;
	core.listOtherReplicas().forEach(id => {
		sendEntries(core, id, now);
	});
};

/** Sends the entries that another replica lacks, or the snapshot if they are no longer in memory. */
export const sendEntries = (core: ReplicaCore, to: ReplicaId, now: number): void => {
	const progress = core.getProgress(to);
	const prevIndex = progress.nextIndex - 1;
	const prevTerm = core.log.termAt(prevIndex);
	if (prevTerm === undefined) {
		sendSnapshot(core, to, progress, now);
		return;
	}

	const entries = takeUpToSize(core.log.read(progress.nextIndex, maxEntriesPerMessage), estimateEntrySize, maxBytesPerMessage);
	progress.nextIndex += entries.length;
	core.send({
		kind: MessageKind.AppendRequest, to, prevIndex, prevTerm, entries, commit: core.commitIndex, sentAt: now,
	});
};

const sendSnapshot = (core: ReplicaCore, to: ReplicaId, progress: Progress, now: number): void => {
	const {snapshot} = core.log;
	if (!snapshot || now - progress.snapshotSentAt < core.times.electionTimeoutMs) {
		return;
	}

	progress.snapshotSentAt = now;
	core.send({
		kind: MessageKind.SnapshotRequest, to, snapshot, sentAt: now,
	});
};

/** Records an acknowledgement or a rejection, and sends the next entries. */
export const handleAppendResponse = (core: ReplicaCore, message: AppendResponse, now: number): void => {
	if (core.role !== Role.Leader || message.term !== core.term) {
		return;
	}

	const progress = core.getProgress(message.from);
	progress.acknowledgedAt = Math.max(progress.acknowledgedAt, message.sentAt);
	if (!message.success) {
		// After a network partition, all messages queued for the link are rejected at once. Resending the missing entries for each
		// rejection sent them 56 times (6 s, 100 changes of 2 KB per second), in bodies too large for an instance's memory.
		if (message.sentAt < progress.resentAt) {
			return;
		}

		progress.resentAt = now;
		progress.nextIndex = Math.max(progress.matchIndex + 1, Math.min(message.index, core.lastIndex + 1));
		sendEntries(core, message.from, now);
		return;
	}

	progress.matchIndex = Math.max(progress.matchIndex, message.index);
	progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
	advanceCommit(core);
	if (progress.nextIndex <= core.lastIndex) {
		sendEntries(core, message.from, now);
	}
};

const advanceCommit = (core: ReplicaCore): void => {
	const index = quorumValue(core.membership, id => (id === core.id ? core.lastIndex : core.getProgress(id).matchIndex));
	if (index > core.commitIndex && core.rules.mayCommit(core.log.termAt(index) ?? 0, core.term)) {
		core.commitIndex = index;
		stepDownIfRemoved(core);
	}
};

const stepDownIfRemoved = (core: ReplicaCore): void => {
	const isRemoved = !core.membership.voters.includes(core.id) && !core.hasUncommittedMembership;
	if (isRemoved) {
		core.role = Role.Follower;
		core.leader = undefined;
	}
};
