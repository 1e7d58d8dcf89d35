/**
 * The handlers of a control instance that belongs to a replicated log.
 */

import {assumeType, type Clock} from 'mastvalve-utils';
import type {ConfigurationStore} from 'mastvalve-configuration';
import {fromWire, type UpstreamHandlers, type WireResult} from 'mastvalve-http';
import type {LogNode} from 'mastvalve-replication';
import {
	ControlUnavailableError, EndpointState, NotLeaderError, UnknownNameError, type EndpointReport, type MastvalveError,
} from 'mastvalve-types';
import {err, ok, type Result} from 'neverthrow';
import {CommandKind, type CommandBody} from '../state/commands.js';
import {listResidents} from '../state/endpoint-changes.js';
import {UnknownPlanError, type ControlMachine} from '../state/control-machine.js';
import type {DemandEstimate} from './demand-estimate.js';
import type {OperatorHandlers} from './operator-router.js';

/** What the handlers work on. */
export type ControlParts = {
	instance: string;
	node: LogNode;
	machine: ControlMachine;
	store: ConfigurationStore;
	clock: Clock;
	demand: DemandEstimate;
	reports: Map<string, EndpointReport>;
};

/** Longest time for which a question for news is held, ms. */
const maxFollowWaitMs = 30_000;

/** Proposes a command and gives its result. */
export const proposeCommand = async <T>({node, clock}: ControlParts, body: CommandBody, requestId?: string): Promise<Result<T, MastvalveError>> => {
	const applied = await node.propose({...body, at: clock.wall(), ...(requestId === undefined ? {} : {requestId})});
	return applied.andThen(wire => fromWire(assumeType<WireResult<T>>(wire)));
};

const requireFresh = ({node}: ControlParts): Result<true, MastvalveError> =>
	(node.hasLinearizableState() ? ok(true) : err(new NotLeaderError(node.leaderName)));

/** What entries and sidecars ask. */
export const createUpstreamHandlers = (parts: ControlParts): UpstreamHandlers => ({
	async follow({revision, waitMs}) {
		const update = await parts.store.waitForUpdateAfter(revision, AbortSignal.timeout(Math.min(waitMs, maxFollowWaitMs)));
		const clusterId = parts.store.current?.clusterId;
		return clusterId === undefined
			? err(new ControlUnavailableError('Control has no configuration yet.'))
			: ok(update ?? {clusterId, changes: []});
	},
	readLatest: async () => requireFresh(parts).map(() => parts.store.revision),
	join: async endpoint => proposeCommand(parts, {kind: CommandKind.JoinEndpoint, endpoint}),
	async report(reports) {
		const fresh = requireFresh(parts);
		return fresh.isOk() ? takeReports(parts, reports) : fresh;
	},
	reportDemand: async report => requireFresh(parts).map(() => {
		parts.demand.record(report, parts.clock.now());
		return true as const;
	}),
});

/** Whether a report was made after the last one that was taken. */
export const isNewerReport = (report: EndpointReport, last: EndpointReport | undefined): boolean =>
	last === undefined || report.incarnation > last.incarnation || (report.incarnation === last.incarnation && report.sequence > last.sequence);

/** Fails when anything that follows from the reports could not be committed, so that they are sent again. */
const takeReports = async (parts: ControlParts, reports: EndpointReport[]): Promise<Result<true, MastvalveError>> => {
	const {endpoints} = parts.machine.configuration;
	const current = reports.filter(report =>
		endpoints[report.endpointId]?.incarnation === report.incarnation && isNewerReport(report, parts.reports.get(report.endpointId)));
	current.forEach(report => {
		parts.reports.set(report.endpointId, report);
	});
	const proofs = current.filter(report => hasNewProof(parts, report)).map(({endpointId, incarnation, loaded}) => ({endpointId, incarnation, loaded}));
	const changes = current
		.filter(report => report.state !== EndpointState.Live && endpoints[report.endpointId]?.state === EndpointState.Live)
		.map(({endpointId, incarnation, state}) => ({endpointId, incarnation, state}));
	const results = await Promise.all([
		...proofs.map(async proof => proposeCommand<true>(parts, {kind: CommandKind.RecordLoaded, proof})),
		...(changes.length > 0 ? [proposeCommand<true>(parts, {kind: CommandKind.ChangeEndpoints, changes})] : []),
	]);
	return results.find(result => result.isErr()) ?? ok(true);
};

/** Whether a report says something about residents that the configuration doesn't. */
const hasNewProof = ({machine}: ControlParts, report: EndpointReport): boolean => {
	const placement = machine.configuration.placements[report.endpointId];
	return placement !== undefined && listResidents(placement).some(model => placement.loaded.includes(model) !== report.loaded.includes(model));
};

/** What operators ask, and entries that claim keys. */
export const createOperatorHandlers = (parts: ControlParts): OperatorHandlers => ({
	stateIntent: async ({requestId, intent}) => proposeCommand(parts, {kind: CommandKind.StateIntent, intent}, requestId),
	showPlan: async ({planId}) => requireFresh(parts).andThen(() => {
		const plan = parts.machine.findPlan(planId);
		return plan ? ok(plan) : err(new UnknownPlanError(planId));
	}),
	confirmPlan: async ({requestId, planId}) => proposeCommand(parts, {kind: CommandKind.ConfirmPlan, planId}, requestId),
	async drainEndpoint({requestId, endpointId}) {
		const endpoint = parts.machine.configuration.endpoints[endpointId];
		return endpoint
			? proposeCommand(parts, {kind: CommandKind.ChangeEndpoints, changes: [{endpointId, incarnation: endpoint.incarnation, state: EndpointState.Leaving}]}, requestId)
			: err(new UnknownNameError('endpoint', endpointId, 'See "mastvalve status" for the endpoints that have joined.'));
	},
	readStatus: async () => requireFresh(parts).map(() => {
		const {replica} = parts.node;
		return {
			instance: parts.instance,
			clusterId: parts.machine.configuration.clusterId,
			term: replica.term,
			voters: replica.currentMembership.voters,
			learners: replica.currentMembership.learners,
			commitIndex: replica.commitIndex,
			claims: parts.machine.claimCount,
			configuration: parts.machine.configuration,
			reports: [...parts.reports.values()],
		};
	}),
	beginClaim: async claim => proposeCommand(parts, {kind: CommandKind.BeginClaim, claim}),
	finishClaim: async end => proposeCommand(parts, {kind: CommandKind.FinishClaim, end}),
});
