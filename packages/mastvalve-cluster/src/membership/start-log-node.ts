/**
 * Starts an instance's part in the replicated log, from what its journal holds.
 */

import {
	defaultReplicaRules, LogNode, Replica, type Journal, type ReplicaId,
} from 'mastvalve-replication';
import {describeError} from 'mastvalve-utils';
import type {LogTransport} from '../peer/log-transport.js';
import type {ControlGroupOptions} from './control-group-options.js';
import {groupTimes} from './group-times.js';
import {persistUntilTaken} from './persist-until-taken.js';

/** What the instance brings. */
export type LogNodeParts = {
	id: ReplicaId;
	journal: Journal;
	transport: LogTransport;
	/** Aborts when the instance ends. */
	signal: AbortSignal;
};

/** Entries between snapshots. */
const snapshotIntervalEntries = 400;

/** Restores the state machine, and runs the replica from there. */
export const startLogNode = (options: ControlGroupOptions, {id, journal, transport, signal}: LogNodeParts): LogNode => {
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
		persist: async write => persistUntilTaken({
			journal, write, signal, onError,
		}),
		onFailure(thrown) {
			onError(`the log stopped, this instance takes no further part: ${describeError(thrown)}`);
		},
		onSuspended() {
			onEvent('replica.suspended', 'time has gone by that the steady clock did not count, or the time of day was set: leases begin anew');
		},
		onRoleChange(role, term, leader) {
			onEvent('replica.changed-role', `${role} in term ${term}, leader ${leader ?? 'unknown'}`);
		},
	});
};
