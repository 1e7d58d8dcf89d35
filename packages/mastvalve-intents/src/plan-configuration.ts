/**
 * Plans the placement of a configuration.
 */

import {computeModelMemory, listAssignments} from 'mastvalve-configuration';
import {planPlacement, type PlacementInput, type PlacementResult} from 'mastvalve-placement';
import {
	EndpointState, type Assignment, type Configuration, type Placement,
} from 'mastvalve-types';
import {compareText, formatCanonically} from 'mastvalve-utils';

/** Inputs of placement besides the configuration. */
export type PlacementForecast = {
	/** Returns the expected requests per second. */
	demandOf: (model: string) => number;
	/** Returns the wanted replicas, given the current and the required number. */
	wantedReplicasOf: (model: string, current: number, minimum: number) => number;
	loadBudget: number;
	moveWeight: number;
};

/** Depends on the configuration only, so that every replica of the log creates the same plan. */
export const noForecast: PlacementForecast = {
	demandOf: () => 0,
	wantedReplicasOf: (_model, _current, minimum) => minimum,
	loadBudget: Number.POSITIVE_INFINITY,
	moveWeight: 0,
};

export const toPlacementInput = (configuration: Configuration, forecast: PlacementForecast): PlacementInput => {
	const live = Object.values(configuration.endpoints)
		.filter(endpoint => endpoint.state === EndpointState.Live && endpoint.capacity > 0)
		.toSorted((a, b) => compareText(a.id, b.id));
	const endpoints = live.map(endpoint => ({
		id: endpoint.id,
		service: endpoint.service,
		failureDomain: endpoint.failureDomain,
		capacity: endpoint.capacity,
		assignments: listAssignments(configuration, endpoint),
		loaded: configuration.placements[endpoint.id]?.loaded ?? [],
	}));
	const replicasOf = new Map<string, number>();
	endpoints.flatMap(endpoint => endpoint.assignments).forEach(assignment => {
		replicasOf.set(assignment.model, (replicasOf.get(assignment.model) ?? 0) + 1);
	});
	const models = Object.values(configuration.models).map(model => ({
		name: model.name,
		service: model.service,
		size: computeModelMemory(model),
		minReplicas: model.minReplicas,
		wantedReplicas: forecast.wantedReplicasOf(model.name, replicasOf.get(model.name) ?? 0, model.minReplicas),
		demand: forecast.demandOf(model.name),
	}));
	return {
		models, endpoints, loadBudget: forecast.loadBudget, moveWeight: forecast.moveWeight,
	};
};

/** Lists the placements that differ from those of the configuration. */
export const listChangedPlacements = (configuration: Configuration, assignments: Record<string, Assignment[]>): Placement[] =>
	Object.entries(assignments)
		.filter(([endpointId, assigned]) => !isInForce(configuration, endpointId, assigned))
		.map(([endpointId, assigned]) => {
			const known = configuration.placements[endpointId];
			const incarnation = configuration.endpoints[endpointId]?.incarnation ?? 0;
			const loaded = known?.incarnation === incarnation ? known.loaded.filter(model => assigned.some(assignment => assignment.model === model)) : [];
			return {
				endpointId, incarnation, assignments: assigned, loaded,
			};
		})
		.toSorted((a, b) => compareText(a.endpointId, b.endpointId));

/** Whether an endpoint already has these assignments; identical arrays are the common case. */
const isInForce = (configuration: Configuration, endpointId: string, assigned: Assignment[]): boolean => {
	const known = configuration.placements[endpointId];
	if (known?.incarnation !== configuration.endpoints[endpointId]?.incarnation) {
		return assigned.length === 0 && known === undefined;
	}

	return assigned === known?.assignments || formatCanonically(assigned) === formatCanonically(known?.assignments ?? []);
};

export const planConfiguration = (configuration: Configuration, forecast: PlacementForecast): PlacementResult =>
	planPlacement(toPlacementInput(configuration, forecast));
