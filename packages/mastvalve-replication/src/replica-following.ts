/**
 * Handling of a leader's messages: entries, which must continue the local log, and snapshots.
 */

import {MessageKind, type AppendRequest, type SnapshotRequest} from './message.js';
import {Role, type ReplicaCore} from './replica-core.js';

const acceptLeader = (core: ReplicaCore, message: AppendRequest | SnapshotRequest, now: number): boolean => {
	if (message.term < core.term) {
		core.send({
			kind: MessageKind.AppendResponse, to: message.from, success: false, index: core.lastIndex + 1, sentAt: message.sentAt,
		});
		return false;
	}

	core.role = Role.Follower;
	core.leader = message.from;
	core.votesWithheldUntil = now + core.times.electionTimeoutMs;
	core.resetElectionTimer(now);
	return true;
};

/** Appends entries that continue the local log; otherwise responds with the index from which the leader should retry. */
export const handleAppendRequest = (core: ReplicaCore, message: AppendRequest, now: number): void => {
	if (!acceptLeader(core, message, now)) {
		return;
	}

	const mismatch = findMismatch(core, message);
	if (mismatch !== undefined) {
		core.send({
			kind: MessageKind.AppendResponse, to: message.from, success: false, index: mismatch, sentAt: message.sentAt,
		});
		return;
	}

	const firstNew = message.entries.find(entry => entry.index > core.commitIndex && core.log.termAt(entry.index) !== entry.term);
	if (firstNew) {
		core.truncateFrom(firstNew.index);
		core.appendEntries(message.entries.filter(entry => entry.index >= firstNew.index));
	}

	const lastMatching = message.prevIndex + message.entries.length;
	core.commitIndex = Math.max(core.commitIndex, Math.min(message.commit, lastMatching));
	core.send({
		kind: MessageKind.AppendResponse, to: message.from, success: true, index: lastMatching, sentAt: message.sentAt,
	});
};

/** Returns the index from which the leader should retry; undefined when the logs match at `prevIndex`. */
const findMismatch = (core: ReplicaCore, message: AppendRequest): number | undefined => {
	// Committed entries are the same in every log.
	if (message.prevIndex <= core.commitIndex) {
		return undefined;
	}

	const ownTerm = core.log.termAt(message.prevIndex);
	if (ownTerm === message.prevTerm) {
		return undefined;
	}

	return ownTerm === undefined ? core.lastIndex + 1 : firstIndexOfTerm(core, ownTerm, message.prevIndex);
};

const firstIndexOfTerm = (core: ReplicaCore, term: number, from: number): number => {
	const candidates = core.log.read(core.commitIndex + 1, from - core.commitIndex);
	return candidates.find(entry => entry.term === term)?.index ?? from;
};

/** Replaces the log by a snapshot that is newer than the local commit index. */
export const handleSnapshotRequest = (core: ReplicaCore, message: SnapshotRequest, now: number): void => {
	if (!acceptLeader(core, message, now)) {
		return;
	}

	const {snapshot} = message;
	if (snapshot.index > core.commitIndex) {
		core.log.reset(snapshot);
		core.membership = core.log.membershipAt();
		core.commitIndex = snapshot.index;
		core.emittedIndex = snapshot.index;
		core.snapshotToRestore = snapshot;
		core.pendingWrite = {snapshot, append: [], hardState: core.hardState};
		core.hasWrite = true;
	}

	core.send({
		kind: MessageKind.AppendResponse, to: message.from, success: true, index: snapshot.index, sentAt: message.sentAt,
	});
};
