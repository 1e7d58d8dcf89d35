/**
 * Changes of endpoints in the configuration, as pure functions.
 */

import {keepConfirmedLoads, computeAssignedMemory} from 'mastvalve-configuration';
import type {JoinRequest} from 'mastvalve-http';
import {listChangedPlacements, noForecast, planConfiguration} from 'mastvalve-intents';
import {
	AssignmentMode, EndpointState, type Configuration, type Endpoint, type Placement,
} from 'mastvalve-types';
import {keyBy, omitKey, putKey} from 'mastvalve-utils';
import type {EndpointChange, LoadProof} from './commands.js';

const stateOrder: readonly EndpointState[] = [EndpointState.Live, EndpointState.Leaving, EndpointState.Gone];

/** An endpoint joins: a new incarnation, unless it is the same process that asks again. */
export const joinEndpoint = (configuration: Configuration, request: JoinRequest, revision: number): {configuration: Configuration; endpoint: Endpoint} => {
	const known = configuration.endpoints[request.id];
	if (known?.processId === request.processId) {
		return {configuration, endpoint: known};
	}

	const endpoint: Endpoint = {...request, incarnation: revision, state: EndpointState.Live};
	const former = configuration.placements[request.id];
	const mayKeep = former && known?.service === request.service && computeAssignedMemory(configuration, former.assignments) <= request.capacity;
	const placements = mayKeep
		? putKey(configuration.placements, request.id, {...former, incarnation: revision, loaded: []})
		: omitKey(configuration.placements, request.id);
	return {
		configuration: {
			...configuration, revision, endpoints: putKey(configuration.endpoints, request.id, endpoint), placements,
		}, endpoint,
	};
};

/** Membership goes forward only, and only for the incarnation that was meant. */
export const changeEndpoints = (configuration: Configuration, changes: readonly EndpointChange[], revision: number): Configuration => {
	const valid = changes.flatMap(change => {
		const endpoint = configuration.endpoints[change.endpointId];
		const isForward = endpoint?.incarnation === change.incarnation && stateOrder.indexOf(change.state) > stateOrder.indexOf(endpoint.state);
		return endpoint && isForward ? [{...endpoint, state: change.state}] : [];
	});
	return valid.length === 0
		? configuration
		: {...configuration, revision, endpoints: {...configuration.endpoints, ...keyBy(valid, endpoint => endpoint.id)}};
};

/** Forgets endpoints. */
export const forgetEndpoints = (configuration: Configuration, ids: readonly string[], revision: number): Configuration => {
	const forgotten = new Set(ids);
	const keep = <T>(record: Record<string, T>): Record<string, T> => Object.fromEntries(Object.entries(record).filter(([id]) => !forgotten.has(id)));
	return ids.length === 0
		? configuration
		: {
			...configuration, revision, endpoints: keep(configuration.endpoints), placements: keep(configuration.placements),
		};
};

/** Takes over placements that are still meant for the present incarnation and within the capacity. */
export const placeAssignments = (configuration: Configuration, placements: readonly Placement[], revision: number): Configuration => {
	const valid = placements.filter(placement => {
		const endpoint = configuration.endpoints[placement.endpointId];
		return endpoint?.incarnation === placement.incarnation && computeAssignedMemory(configuration, placement.assignments) <= endpoint.capacity;
	});
	const next = {...configuration, revision, placements: {...configuration.placements, ...keyBy(valid.map(placement => keepConfirmedLoads(configuration, placement)), placement => placement.endpointId)}};
	return valid.length === 0 || losesCoverage(configuration, next) ? configuration : next;
};

/** Records which residents an endpoint has proved to hold. */
export const recordLoaded = (configuration: Configuration, proof: LoadProof, revision: number): Configuration => {
	const {endpointId, incarnation, loaded} = proof;
	const placement = configuration.placements[endpointId];
	if (placement?.incarnation !== incarnation) {
		return configuration;
	}

	const proved = listResidents(placement).filter(model => loaded.includes(model));
	const isSame = proved.length === placement.loaded.length && proved.every(model => placement.loaded.includes(model));
	return isSame ? configuration : {...configuration, revision, placements: putKey(configuration.placements, endpointId, {...placement, loaded: proved})};
};

/** Models that a placement keeps resident. */
export const listResidents = (placement: Placement): string[] =>
	placement.assignments.filter(assignment => assignment.mode === AssignmentMode.Resident).map(assignment => assignment.model);

/** Gives every model a place that lost its last one, at the same revision. */
export const restoreCoverage = (configuration: Configuration): Configuration => {
	const {assignments} = planConfiguration(configuration, noForecast);
	const changed = listChangedPlacements(configuration, assignments);
	return changed.length === 0
		? configuration
		: {...configuration, placements: {...configuration.placements, ...keyBy(changed, placement => placement.endpointId)}};
};

/** Models that some live endpoint is to hold. */
const listCovered = (configuration: Configuration): Set<string> =>
	new Set(Object.values(configuration.endpoints)
		.filter(endpoint => endpoint.state === EndpointState.Live)
		.flatMap(endpoint => configuration.placements[endpoint.id]?.assignments ?? [])
		.map(assignment => assignment.model));

const losesCoverage = (before: Configuration, after: Configuration): boolean => {
	const covered = listCovered(after);
	return [...listCovered(before)].some(model => model in after.models && !covered.has(model));
};
