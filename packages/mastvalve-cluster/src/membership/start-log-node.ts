/**
 * Starts the log node of an instance from its journal.
 */

import {
	defaultReplicaRules, LogNode, Replica, type Journal, type ReplicaId,
} from 'mastvalve-replication';
import {describeError} from 'mastvalve-utils';
import type {LogTransport} from '../peer/log-transport.js';
import type {ControlGroupOptions} from './control-group-options.js';
import {groupTimes} from './group-times.js';
import {persistWithRetry} from './persist-with-retry.js';

export type LogNodeDependencies = {
	id: ReplicaId;
	journal: Journal;
	transport: LogTransport;
	/** Aborts when the instance stops. */
	signal: AbortSignal;
};

const snapshotIntervalEntries = 400;

/** Restores the state machine from the latest snapshot, and starts the replica from the restored log. */
export const startLogNode = (options: ControlGroupOptions, {id, journal, transport, signal}: LogNodeDependencies): LogNode => {
	const {machine, clock, times, processStartedAt, onEvent, onError} = options;
	const {header, restored} = journal;
	if (restored.snapshot) {
		machine.restoreSnapshot(restored.snapshot.data, restored.snapshot.index);
	}

	const replica = new Replica({
		id,
		initialMembership: {voters: header.initialVoters, learners: []},
		restored,
		times: times ?? groupTimes,
		rules: defaultReplicaRules,
		random: Math.random,
		now: clock.now(),
		processStartedAt,
	});
	return new LogNode({
		replica,
		machine,
		clock,
		snapshotIntervalEntries,
		needsCompaction: () => journal.needsCompaction,
		send(message) {
			transport.send(message);
		},
		persist: async write => persistWithRetry({
			journal, write, signal, onError,
		}),
		onFailure(thrown) {
			onError(`the replicated log failed; this instance no longer participates: ${describeError(thrown)}`);
		},
		onSuspended() {
			onEvent('replica.suspended', 'the monotonic clock missed elapsed time, or the wall clock was set: leases start again');
		},
		onRoleChange(role, term, leader) {
			onEvent('replica.changed-role', `${role} in term ${term}, leader ${leader ?? 'unknown'}`);
		},
	});
};
