/**
 * `npm run bench -- placement`: time of one placement decision, and size of the state, over the size of the deployment.
 */

import {createEmptyConfiguration, diffConfigurations} from 'mastvalve-configuration';
import {joinEndpoint, placeAssignments, restoreCoverage} from 'mastvalve-control';
import {listChangedPlacements, noForecast, planConfiguration} from 'mastvalve-intents';
import {ServiceKind, type Configuration} from 'mastvalve-types';
import {keyBy} from 'mastvalve-utils';
import type {BenchTable} from '../log/log-bench.js';
import {fitLine} from '../statistics.js';

const replicas = 4;
const capacity = 320;

const createConfiguration = (models: number, endpoints: number): Configuration => {
	const empty: Configuration = {
		...createEmptyConfiguration('bench'),
		services: {llm: {name: 'llm', kind: ServiceKind.Model, notRepeated: []}},
		models: keyBy(Array.from({length: models}, (_, index) => ({
			name: `model-${index}`, service: 'llm', size: 70, adapters: [], minReplicas: replicas,
		})), model => model.name),
	};
	// Joined one by one, an object of this size would be copied for each.
	const joined = Array.from({length: endpoints}, (_, index) => joinEndpoint(empty, {
		id: `endpoint-${index}`, service: 'llm', failureDomain: `domain-${index % 6}`, address: '127.0.0.1:9000', capacity, processId: `process-${index}`,
	}, index + 1).endpoint);
	return {...empty, revision: endpoints + 1, endpoints: keyBy(joined, endpoint => endpoint.id)};
};

const measure = (models: number): {models: number; endpoints: number; firstMs: number; steadyMs: number; changeMs: number; stateBytes: number; changeBytes: number} => {
	const endpoints = models * replicas;
	const empty = createConfiguration(models, endpoints);
	const startedAt = performance.now();
	const placed = restoreCoverage(empty);
	const firstMs = performance.now() - startedAt;
	const steadyAt = performance.now();
	const {assignments} = planConfiguration(placed, {...noForecast, demandOf: model => Number(model.slice('model-'.length)) % 7});
	const changed = listChangedPlacements(placed, assignments);
	const steadyMs = performance.now() - steadyAt;
	const changeAt = performance.now();
	const [placement] = Object.values(placed.placements);
	const next = placement ? placeAssignments(placed, [{...placement, assignments: [...placement.assignments]}, ...changed], placed.revision + 1) : placed;
	const change = diffConfigurations(placed, {...next, revision: placed.revision + 1, services: {...placed.services, added: {name: 'added', kind: ServiceKind.Plain, notRepeated: []}}});
	return {
		models,
		endpoints,
		firstMs,
		steadyMs,
		changeMs: performance.now() - changeAt,
		stateBytes: JSON.stringify(placed).length,
		changeBytes: JSON.stringify(change).length,
	};
};

/** The tables. */
export const benchPlacement = (): BenchTable[] => {
	measure(50);
	const readings = [150, 300, 600, 1200].map(measure);
	const fit = fitLine(readings.map(({models, stateBytes}) => ({x: models, y: stateBytes})));
	return [
		{
			title: `one decision of placement, ${replicas} replicas a model, 4 models an endpoint`,
			rows: [
				['models', 'endpoints', 'first placement ms', 'nothing to change ms', 'commit and difference ms', 'state bytes', 'bytes of a small change'],
				...readings.map(({models, endpoints, firstMs, steadyMs, changeMs, stateBytes, changeBytes}) =>
					[models, endpoints, firstMs.toFixed(0), steadyMs.toFixed(0), changeMs.toFixed(1), stateBytes, changeBytes].map(String)),
			],
		},
		{title: 'slope of the state', rows: [['bytes a model with its 4 endpoints', 'largest residual bytes'], [fit.slope.toFixed(0), fit.largestResidual.toFixed(0)]]},
	];
};
