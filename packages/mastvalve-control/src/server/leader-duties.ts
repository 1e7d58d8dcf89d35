/**
 * What only the leader does, once in a while: membership of the log, membership of endpoints, placement.
 * Each duty proposes commands; nothing takes effect unless it is committed, so a leader that was cut off can do no harm.
 */

import {eventLeadMinutes, listChangedPlacements, planConfiguration} from 'mastvalve-intents';
import {chooseWantedReplicas, defaultReleaseShare, listEventReplicas} from 'mastvalve-placement';
import {planNextMembership, type LogNode, type ReplicaId} from 'mastvalve-replication';
import type {PolicySettings, WeightStoreSettings} from 'mastvalve-settings';
import {sumOf, type Clock} from 'mastvalve-utils';
import {CommandKind, type CommandBody} from '../state/commands.js';
import type {ControlMachine} from '../state/control-machine.js';
import {listResidents} from '../state/endpoint-changes.js';
import type {DemandEstimate} from './demand-estimate.js';
import type {EndpointWatch, ListedInstance} from './endpoint-watch.js';

/** What the duties need. */
export type LeaderDutiesOptions = {
	node: LogNode;
	machine: ControlMachine;
	clock: Clock;
	policy: PolicySettings;
	weightStore: WeightStoreSettings;
	demand: DemandEstimate;
	watch: EndpointWatch;
	joining: ReadonlySet<ReplicaId>;
	propose: (body: CommandBody) => Promise<unknown>;
	/** The platform's list; undefined when it can't be had. */
	fetchList: () => Promise<ListedInstance[] | undefined>;
};

/** Carries out all duties once, if this is the leader. */
export const carryOutDuties = async (options: LeaderDutiesOptions): Promise<void> => {
	if (options.node.hasLinearizableState()) {
		await changeLogMembership(options);
		await watchEndpoints(options);
		await placeModels(options);
	}
};

const changeLogMembership = async ({node, clock, joining}: LeaderDutiesOptions): Promise<void> => {
	const next = planNextMembership(node.replica.currentMembership, [...joining], id => node.replica.isCaughtUp(id, clock.now()));
	if (next) {
		await node.proposeMembership(next);
	}
};

const watchEndpoints = async ({machine, watch, propose, fetchList}: LeaderDutiesOptions): Promise<void> => {
	const listed = await fetchList();
	const changes = listed ? watch.observe(Object.values(machine.configuration.endpoints), listed) : [];
	if (changes.length > 0) {
		await propose({kind: CommandKind.ChangeEndpoints, changes});
	}
};

const placeModels = async ({machine, clock, policy, weightStore, demand, propose}: LeaderDutiesOptions): Promise<void> => {
	const {configuration} = machine;
	const now = clock.now();
	const eventReplicas = listEventReplicas(Object.values(configuration.events), clock.wall(), eventLeadMinutes);
	const {assignments} = planConfiguration(configuration, {
		demandOf: model => demand.rateOf(model, now),
		wantedReplicasOf: (model, current, minimum) =>
			Math.max(eventReplicas.get(model) ?? 0, chooseWantedReplicas(demand.rateOf(model, now), current, minimum, {ratePerReplica: policy.ratePerReplica, releaseShare: defaultReleaseShare})),
		loadBudget: Math.max(0, weightStore.parallelLoads - countPendingLoads(machine)),
		moveWeight: policy.moveWeight,
	});
	const placements = listChangedPlacements(configuration, assignments);
	if (placements.length > 0) {
		await propose({kind: CommandKind.Place, placements});
	}
};

/** Residents that no report has proved yet. */
const countPendingLoads = (machine: ControlMachine): number =>
	sumOf(Object.values(machine.configuration.placements), placement => listResidents(placement).length - placement.loaded.length);
