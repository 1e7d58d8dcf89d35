/**
 * `npm run bench -- aperture`: the weighted aperture (Vartolomei, 2020) against subsets by model, at 750 entries and
 * 4,800 endpoints: connections, imbalance, models out of reach.
 */

import {createRandom, pickBelow, type Random} from 'mastvalve-utils';
import type {BenchTable} from '../log/log-bench.js';
import {quantile} from '../statistics.js';

const entries = 750;
const endpoints = 4800;
const models = 1200;
const replicas = endpoints / models;
/** Requests in the time for which an idle connection is kept, 30 s. */
const requestsInWindow = 16_000 * 30;
const skew = 0.9;

/** Draws a model by its popularity. */
const createModelDraw = (random: Random): (() => number) => {
	const weights = Array.from({length: models}, (_, index) => 1 / ((index + 1) ** skew));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	const cumulative = weights.reduce<number[]>((sums, weight) => [...sums, (sums.at(-1) ?? 0) + (weight / total)], []);
	return () => {
		const draw = random();
		let [low, high] = [0, models - 1];
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if ((cumulative[middle] ?? 1) < draw) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};
};

/** Endpoints of a model: spread over the ring, as placement spreads them over failure domains. */
const listReplicas = (model: number): number[] => Array.from({length: replicas}, (_, index) => (model + (index * models)) % endpoints);

/** Endpoints whose arc an entry's aperture meets; weights are equal here. */
const listAperture = (entry: number, width: number): Set<number> => {
	const first = Math.floor((entry / entries) * endpoints);
	return new Set(Array.from({length: width}, (_, index) => (first + index) % endpoints));
};

/** Entries whose reach is counted. */
const apertureSample = 50;

const countOutOfReach = (aperture: ReadonlySet<number>): number =>
	Array.from({length: models}, (_, model) => model).filter(model => !listReplicas(model).some(endpoint => aperture.has(endpoint))).length;

const measure = (name: string, width: number | undefined, seed: number): string[] => {
	const random = createRandom(seed);
	const drawModel = createModelDraw(random);
	const apertures = width === undefined ? undefined : Array.from({length: entries}, (_, entry) => listAperture(entry, width));
	const connections = Array.from({length: entries}, () => new Set<number>());
	const connectionsAtSidecars = new Map<number, Set<number>>();
	/** Requests by model and endpoint. */
	const loads = new Map<string, number>();
	let unreachable = 0;
	for (let request = 0; request < requestsInWindow; request += 1) {
		const entry = pickBelow(random, entries);
		const model = drawModel();
		const candidates = listReplicas(model).filter(endpoint => apertures?.[entry]?.has(endpoint) ?? true);
		const endpoint = candidates[pickBelow(random, candidates.length)];
		if (endpoint === undefined) {
			unreachable += 1;
		} else {
			connections[entry]?.add(endpoint);
			connectionsAtSidecars.set(endpoint, (connectionsAtSidecars.get(endpoint) ?? new Set()).add(entry));
			const load = `${model} ${endpoint}`;
			loads.set(load, (loads.get(load) ?? 0) + 1);
		}
	}

	// Imbalance between the replicas of one model: the busiest over the mean, of the 100 most popular models.
	const imbalances = Array.from({length: 100}, (_, model) => {
		const counts = listReplicas(model).map(endpoint => loads.get(`${model} ${endpoint}`) ?? 0);
		return Math.max(...counts) / (counts.reduce((sum, count) => sum + count, 0) / counts.length);
	});
	const looked = apertures?.slice(0, apertureSample) ?? [];
	const outOfReach = looked.reduce((sum, aperture) => sum + countOutOfReach(aperture), 0) / Math.max(1, looked.length);
	return [
		name,
		quantile(connections.map(each => each.size), 0.5).toFixed(0),
		quantile([...connectionsAtSidecars.values()].map(each => each.size), 0.99).toFixed(0),
		quantile(imbalances, 0.5).toFixed(2),
		outOfReach.toFixed(0),
		(unreachable / requestsInWindow).toFixed(3),
	];
};

/** The table. */
export const benchAperture = (seed: number): BenchTable[] => [{
	title: `${entries} entries, ${endpoints} endpoints, ${models} models with ${replicas} replicas, requests of 30 s at the peak`,
	rows: [
		['way', 'connections an entry (median)', 'a sidecar (99th)', 'busiest replica over mean', 'models out of an entry\'s reach', 'requests without endpoint'],
		measure('by model (ours)', undefined, seed),
		measure('aperture of 64', 64, seed),
		measure('aperture of 512', 512, seed),
		measure('aperture of 1200', 1200, seed),
		measure('aperture of 2400', 2400, seed),
		measure('aperture of all', endpoints, seed),
	],
}];
