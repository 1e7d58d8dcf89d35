/**
 * Questions that programs ask of a configuration.
 */

import {
	AssignmentMode, EndpointState, type Assignment, type Configuration, type Endpoint, type Model, type Placement,
} from 'mastvalve-types';
import {sumOf} from 'mastvalve-utils';

/** Memory of a model with its adapters. */
export const memoryOfModel = (model: Model): number => model.size + sumOf(model.adapters, adapter => adapter.size);

/** The model that serves a name; adapters are named as models. */
export const findServingModel = (configuration: Configuration, name: string): Model | undefined =>
	configuration.models[name]
	?? Object.values(configuration.models).find(model => model.adapters.some(adapter => adapter.name === name));

/** Live endpoints of a service. */
export const listLiveEndpoints = (configuration: Configuration, service: string): Endpoint[] =>
	Object.values(configuration.endpoints).filter(endpoint => endpoint.service === service && endpoint.state === EndpointState.Live);

/** What an endpoint shall hold in its present incarnation. */
export const listAssignments = (configuration: Configuration, endpoint: Endpoint): Assignment[] => {
	const placement = configuration.placements[endpoint.id];
	return placement?.incarnation === endpoint.incarnation ? placement.assignments : [];
};

/** Accelerator memory that assignments may take at once: all residents and the largest on demand. */
export const memoryOfAssignments = (configuration: Pick<Configuration, 'models'>, assignments: readonly Assignment[]): number => {
	const sizeOf = (assignment: Assignment): number => {
		const model = configuration.models[assignment.model];
		return model ? memoryOfModel(model) : 0;
	};

	const residents = assignments.filter(assignment => assignment.mode === AssignmentMode.Resident);
	const onDemand = assignments.filter(assignment => assignment.mode === AssignmentMode.OnDemand);
	return sumOf(residents, sizeOf) + Math.max(0, ...onDemand.map(sizeOf));
};

/** Names that callers may ask for: models, then adapters. */
export const listCallableNames = (configuration: Configuration): string[] =>
	Object.values(configuration.models).flatMap(model => [model.name, ...model.adapters.map(adapter => adapter.name)]);

/**
 * A new placement with the proofs of the one in force. Whoever made the placement may have seen an older state, so what
 * it says of loaded models counts for nothing.
 */
export const keepProofs = (configuration: Configuration, placement: Placement): Placement => {
	const known = configuration.placements[placement.endpointId];
	const proved = known?.incarnation === placement.incarnation ? known.loaded : [];
	const residents = new Set(placement.assignments.filter(assignment => assignment.mode === AssignmentMode.Resident).map(assignment => assignment.model));
	return {...placement, loaded: proved.filter(model => residents.has(model))};
};
