/**
 * Proofs of properties 2 and 6: every declared model stays reachable; leaving goes forward only.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {createEmptyConfiguration, computeAssignedMemory} from 'mastvalve-configuration';
import {
	changeEndpoints, EndpointWatch, joinEndpoint, placeAssignments, restoreCoverage, type EndpointChange,
} from 'mastvalve-control';
import {listChangedPlacements, noForecast, planConfiguration} from 'mastvalve-intents';
import {EndpointState, ServiceKind, type Configuration} from 'mastvalve-types';
import {keyBy} from 'mastvalve-utils';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';

const service = 'llm';
const domains = ['a', 'b', 'c'];

const createConfiguration = (sizes: readonly number[], capacities: readonly number[]): Configuration => {
	const empty: Configuration = {
		...createEmptyConfiguration('c'),
		services: {[service]: {name: service, kind: ServiceKind.Model, notRepeated: []}},
		models: keyBy(sizes.map((size, index) => ({
			name: `m${index}`, service, size, adapters: [], minReplicas: index % 3 === 0 ? 1 : 0,
		})), model => model.name),
	};
	const joined = capacities.reduce((configuration, capacity, index) => joinEndpoint(configuration, {
		id: `e${index}`, service, failureDomain: domains[index % domains.length] ?? '', address: '', capacity, processId: `p${index}`,
	}, index + 1).configuration, empty);
	return restoreCoverage(joined);
};

const listUncovered = (configuration: Configuration): string[] => {
	const held = new Set(Object.values(configuration.endpoints)
		.filter(endpoint => endpoint.state === EndpointState.Live)
		.flatMap(endpoint => configuration.placements[endpoint.id]?.assignments ?? [])
		.map(assignment => assignment.model));
	return Object.keys(configuration.models).filter(model => !held.has(model));
};

/** Models that couldn't be covered however they were placed: larger than any live endpoint. */
const listHopeless = (configuration: Configuration): Set<string> => {
	const largest = Math.max(0, ...Object.values(configuration.endpoints).filter(endpoint => endpoint.state === EndpointState.Live).map(endpoint => endpoint.capacity));
	return new Set(Object.values(configuration.models).filter(model => model.size > largest).map(model => model.name));
};

const checkConfiguration = (configuration: Configuration): void => {
	const hopeless = listHopeless(configuration);
	const uncovered = listUncovered(configuration).filter(model => !hopeless.has(model));
	assert.deepEqual(uncovered, []);
	Object.values(configuration.placements).forEach(placement => {
		const capacity = configuration.endpoints[placement.endpointId]?.capacity ?? 0;
		assert.ok(computeAssignedMemory(configuration, placement.assignments) <= capacity, `${placement.endpointId} is asked for more than it has`);
	});
};

const deploymentArbitrary = {
	sizes: fc.array(fc.integer({min: 60, max: 75}), {minLength: 1, maxLength: 20}),
	capacities: fc.array(fc.constantFrom(150, 220, 300), {minLength: 2, maxLength: 8}),
};

const lossProof: Proof = {
	property: Property.Reachable,
	failure: 'endpoints are lost one after the other',
	scenario: 'every model has a place at the revision at which its last one was lost',
	twin: 'a lost endpoint\'s models get no new place',
	run: async (variant, run) => checkProperty(
		fc.record({...deploymentArbitrary, lost: fc.array(fc.nat(7), {maxLength: 6})}),
		({sizes, capacities, lost}) => {
			const restore = variant === Variant.Broken ? (configuration: Configuration) => configuration : restoreCoverage;
			lost.reduce((configuration, pick, index) => {
				const endpoint = configuration.endpoints[`e${pick % capacities.length}`];
				const next = restore(changeEndpoints(configuration, [{endpointId: endpoint?.id ?? '', incarnation: endpoint?.incarnation ?? 0, state: EndpointState.Gone}], 100 + index));
				checkConfiguration(next);
				return next;
			}, createConfiguration(sizes, capacities));
		},
		{...run, variant},
	),
};

const demandProof: Proof = {
	property: Property.Reachable,
	failure: 'demand moves without warning, one model is very hot',
	scenario: 'placement for demand never takes a model\'s last place or more memory than there is',
	twin: 'the hottest model takes every endpoint',
	run: async (variant, run) => checkProperty(
		fc.record({...deploymentArbitrary, demands: fc.array(fc.array(fc.integer({min: 0, max: 500}), {minLength: 20, maxLength: 20}), {minLength: 1, maxLength: 8})}),
		({sizes, capacities, demands}) => {
			demands.reduce((configuration, demand, index) => {
				const demandOf = (model: string): number => demand[Number(model.slice(1))] ?? 0;
				const hottest = Object.keys(configuration.models).toSorted((a, b) => demandOf(b) - demandOf(a))[0] ?? '';
				const {assignments} = planConfiguration(configuration, {
					...noForecast, demandOf, wantedReplicasOf: model => Math.ceil(demandOf(model) / 50), loadBudget: 5, moveWeight: 0.1,
				});
				const changed = listChangedPlacements(configuration, assignments);
				const greedy = changed.map(placement => ({...placement, assignments: placement.assignments.filter(assignment => assignment.model === hottest)}));
				const next = variant === Variant.Broken
					? {...configuration, placements: {...configuration.placements, ...keyBy(greedy, placement => placement.endpointId)}}
					: placeAssignments(configuration, changed, 200 + index);
				const proved = Object.fromEntries(Object.entries(next.placements).map(([id, placement]) => [id, {...placement, loaded: placement.assignments.map(assignment => assignment.model)}]));
				checkConfiguration({...next, placements: proved});
				return {...next, placements: proved};
			}, createConfiguration(sizes, capacities));
		},
		{...run, variant},
	),
};

const states = [EndpointState.Live, EndpointState.Leaving, EndpointState.Gone];

/** A change that takes whatever state it is told. */
const obey = (configuration: Configuration, changes: readonly EndpointChange[]): Configuration => ({
	...configuration,
	endpoints: {
		...configuration.endpoints, ...Object.fromEntries(changes.flatMap(change => {
			const endpoint = configuration.endpoints[change.endpointId];
			return endpoint ? [[endpoint.id, {...endpoint, state: change.state}]] : [];
		})),
	},
});

const leavingProof: Proof = {
	property: Property.Leaving,
	failure: 'a list that lags, flaps and contradicts the sidecar; late and repeated reports of former incarnations',
	scenario: 'leaving never goes back but by a new incarnation',
	twin: 'the last word heard wins',
	run: async (variant, run) => checkProperty(
		fc.array(fc.record({source: fc.constantFrom('list', 'sidecar', 'operator', 'join'), state: fc.constantFrom(...states), age: fc.nat(2)}), {minLength: 2, maxLength: 40}),
		events => {
			const watch = new EndpointWatch();
			const change = variant === Variant.Broken ? obey : changeEndpoints;
			const request = {
				id: 'e', service, failureDomain: 'a', address: '', capacity: 0,
			};
			let {configuration} = joinEndpoint(createEmptyConfiguration('c'), {...request, processId: 'p0'}, 1);
			const left = new Set<number>();
			events.forEach(({source, state, age}, index) => {
				const revision = index + 2;
				const endpoint = configuration.endpoints.e;
				const incarnation = (endpoint?.incarnation ?? 0) - age;
				const listed = state === EndpointState.Gone ? [] : [{id: 'e', state: state === EndpointState.Live ? 'live' as const : 'leaving' as const}];
				if (source === 'join') {
					configuration = joinEndpoint(configuration, {...request, processId: `p${index % 3}`}, revision).configuration;
				} else if (source === 'list') {
					configuration = change(configuration, watch.observe(Object.values(configuration.endpoints), listed), revision);
				} else {
					configuration = change(configuration, [{endpointId: 'e', incarnation, state}], revision);
				}

				const now = configuration.endpoints.e;
				assert.ok(now && !(left.has(now.incarnation) && now.state === EndpointState.Live), `incarnation ${now?.incarnation ?? 0} came back`);
				if (now.state !== EndpointState.Live) {
					left.add(now.incarnation);
				}
			});
		},
		{...run, variant},
	),
};

/** The proofs. */
export const placementProofs: Proof[] = [lossProof, demandProof, leavingProof];
