/**
 * From a formed journal to a running replica with its state machine.
 */

import {ConfigurationStore} from 'mastvalve-configuration';
import type {ProgramContext} from 'mastvalve-http';
import {
	defaultReplicaRules, formatReplicaId, LogNode, Replica, type Journal, type Message, type ReplicaTimes,
} from 'mastvalve-replication';
import type {PolicySettings} from 'mastvalve-settings';
import {describeError} from 'mastvalve-utils';
import {ControlMachine, createClaimLimits} from '../state/control-machine.js';

/** Entries between snapshots. */
const snapshotIntervalEntries = 5000;

/** What a running log consists of. */
export type RunningLog = {node: LogNode; machine: ControlMachine; store: ConfigurationStore};

/** Options of a running log. */
export type RunningLogOptions = {
	context: ProgramContext;
	journal: Journal;
	policy: PolicySettings;
	times: ReplicaTimes;
	send: (message: Message) => void;
	onFailure: () => void;
};

/** Starts the replica of a formed journal. */
export const startLog = ({context, journal, policy, times, send, onFailure}: RunningLogOptions): RunningLog => {
	const {header, restored} = journal;
	const store = new ConfigurationStore();
	const machine = new ControlMachine(header.clusterId ?? '', createClaimLimits(policy.claimRetentionMs), configuration => {
		store.publish(configuration);
		context.timeline.record('configuration.committed', `revision ${configuration.revision}, version ${configuration.version}`);
	});
	store.publish(machine.configuration);
	if (restored.snapshot) {
		machine.restoreSnapshot(restored.snapshot.data);
	}

	const replica = new Replica({
		id: formatReplicaId(header.replica, header.disk),
		initialMembership: {voters: header.initialVoters, learners: []},
		restored,
		times,
		rules: defaultReplicaRules,
		random: Math.random,
		now: context.clock.now(),
	});
	const node = new LogNode({
		replica,
		machine,
		send,
		persist: async write => journal.persist(write),
		clock: context.clock,
		snapshotIntervalEntries,
		onFailure(thrown) {
			context.logger.error({err: thrown}, `storage failed, this instance takes no further part: ${describeError(thrown)}`);
			onFailure();
		},
		onRoleChange(role, term, leader) {
			context.timeline.record('replica.changed-role', `${role} in term ${term}, leader ${leader ?? 'unknown'}`);
		},
	});
	return {node, machine, store};
};
