/**
 * The configuration with which a run of a policy begins: all models declared, all endpoints joined, and placed as the
 * policy has it.
 */

import {createEmptyConfiguration} from 'mastvalve-configuration';
import {joinEndpoint, restoreCoverage} from 'mastvalve-control';
import {
	AssignmentMode, ServiceKind, type Configuration, type Model,
} from 'mastvalve-types';
import {keyBy} from 'mastvalve-utils';
import {PlacementKind} from './bench-policy.js';
import type {DeploymentShape} from './deployment-shape.js';

const adapterSize = 2;

const declareModels = ({models, service}: DeploymentShape, placement: PlacementKind): Model[] =>
	models.map((model): Model => ({
		name: model.name,
		service,
		size: model.size,
		adapters: Array.from({length: model.adapters}, (_, index) => ({name: `${model.name}-a${index}`, size: adapterSize})),
		minReplicas: placement === PlacementKind.OnDemand ? 0 : 1,
	}));

const assignEverything = (shape: DeploymentShape, configuration: Configuration): Configuration => {
	const assignments = shape.models.map(({name}) => ({model: name, mode: AssignmentMode.OnDemand}));
	return {
		...configuration,
		placements: keyBy(Object.values(configuration.endpoints).map(endpoint => ({
			endpointId: endpoint.id, incarnation: endpoint.incarnation, assignments, loaded: [],
		})), ({endpointId}) => endpointId),
	};
};

/** Makes it. */
export const createFirstConfiguration = (shape: DeploymentShape, placement: PlacementKind): Configuration => {
	const declared: Configuration = {
		...createEmptyConfiguration('bench'),
		services: {[shape.service]: {name: shape.service, kind: ServiceKind.Model, notRepeated: []}},
		models: keyBy(declareModels(shape, placement), model => model.name),
	};
	const joined = Array.from({length: shape.engines}).reduce<Configuration>((configuration, _, index) => joinEndpoint(configuration, {
		id: `e${index}`,
		service: shape.service,
		failureDomain: shape.failureDomains[index % shape.failureDomains.length] ?? '',
		address: '',
		capacity: shape.capacity,
		processId: `p${index}`,
	}, index + 1).configuration, declared);
	return placement === PlacementKind.OnDemand ? assignEverything(shape, joined) : restoreCoverage(joined);
};
