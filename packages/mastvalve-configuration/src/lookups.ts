/**
 * Queries on a configuration.
 */

import {
	AssignmentMode, EndpointState, type Assignment, type Configuration, type Endpoint, type Model, type Placement,
} from 'mastvalve-types';
import {sumOf} from 'mastvalve-utils';

/** Returns the memory of a model including its adapters. */
export const computeModelMemory = (model: Model): number => model.size + sumOf(model.adapters, adapter => adapter.size);

/** Finds the model that serves a name, which may be that of a model or an adapter. */
export const findServingModel = (configuration: Configuration, name: string): Model | undefined =>
	configuration.models[name]
	?? Object.values(configuration.models).find(model => model.adapters.some(adapter => adapter.name === name));

export const listLiveEndpoints = (configuration: Configuration, service: string): Endpoint[] =>
	Object.values(configuration.endpoints).filter(endpoint => endpoint.service === service && endpoint.state === EndpointState.Live);

/** Lists the assignments of an endpoint in its current incarnation. */
export const listAssignments = (configuration: Configuration, endpoint: Endpoint): Assignment[] => {
	const placement = configuration.placements[endpoint.id];
	return placement?.incarnation === endpoint.incarnation ? placement.assignments : [];
};

/** Returns the peak accelerator memory of assignments: all residents plus the largest on-demand model. */
export const computeAssignedMemory = (configuration: Pick<Configuration, 'models'>, assignments: readonly Assignment[]): number => {
	const sizeOf = (assignment: Assignment): number => {
		const model = configuration.models[assignment.model];
		return model ? computeModelMemory(model) : 0;
	};

	const residents = assignments.filter(assignment => assignment.mode === AssignmentMode.Resident);
	const onDemand = assignments.filter(assignment => assignment.mode === AssignmentMode.OnDemand);
	return sumOf(residents, sizeOf) + Math.max(0, ...onDemand.map(sizeOf));
};

/** Lists the names that callers may request: each model followed by its adapters. */
export const listCallableNames = (configuration: Configuration): string[] =>
	Object.values(configuration.models).flatMap(model => [model.name, ...model.adapters.map(adapter => adapter.name)]);

/**
 * Returns a new placement with the confirmed loads of the one in force. The placement may have been computed from an older state, so its
 * own list of loaded models is ignored.
 */
export const keepConfirmedLoads = (configuration: Configuration, placement: Placement): Placement => {
	const known = configuration.placements[placement.endpointId];
	const proved = known?.incarnation === placement.incarnation ? known.loaded : [];
	const residents = new Set(placement.assignments.filter(assignment => assignment.mode === AssignmentMode.Resident).map(assignment => assignment.model));
	return {...placement, loaded: proved.filter(model => residents.has(model))};
};
