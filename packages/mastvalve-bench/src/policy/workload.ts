/**
 * Requests over time: Poisson arrivals, skewed popularity, prompts that share prefixes, three classes of urgency.
 */

import {Priority} from 'mastvalve-types';
import {pickBelow, type Random} from 'mastvalve-utils';
import type {DeploymentShape} from './deployment-shape.js';

/** One request. Times in ms. */
export type BenchRequest = {
	id: string;
	at: number;
	model: number;
	prompt: string;
	tokens: number;
	priority: Priority;
	/** Time to the first token within which it counts as served. */
	targetMs: number;
};

/** How demand moves: a factor on a model's rate at a time. */
export type DemandFactor = (model: number, at: number) => number;

const targets: Readonly<Record<Priority, number>> = {[Priority.Interactive]: 930, [Priority.Standard]: 5000, [Priority.Batch]: 30_000};
const skew = 0.9;
const prefixGroups = 6;
const blockLength = 256;
const sharedBlocks = 6;

const chooseClass = ([interactive, standard]: DeploymentShape['classShares'], random: Random): Priority => {
	const draw = random();
	if (draw < interactive) {
		return Priority.Interactive;
	}

	return draw < interactive + standard ? Priority.Standard : Priority.Batch;
};

/** Requests a second for a model when it is calm. */
export const rateOfModel = (shape: DeploymentShape, model: number): number => {
	const weights = shape.models.map((_, index) => 1 / ((index + 1) ** skew));
	return (shape.calmRate * (weights[model] ?? 0)) / weights.reduce((sum, weight) => sum + weight, 0);
};

/** All requests of a run, in order of time. */
export const createWorkload = (shape: DeploymentShape, factor: DemandFactor, durationMs: number, random: Random): BenchRequest[] =>
	shape.models.flatMap((_, model) => createArrivals(rateOfModel(shape, model), at => factor(model, at), durationMs, random).map((at, index): BenchRequest => {
		const priority = chooseClass(shape.classShares, random);
		const shared = `shared ${pickBelow(random, prefixGroups)} `.repeat(sharedBlocks * 26).slice(0, sharedBlocks * blockLength);
		return {
			id: `${model}-${index}`,
			at,
			model,
			prompt: `${shared}${index} `.padEnd((sharedBlocks + 1 + pickBelow(random, 4)) * blockLength, `${index} `),
			tokens: 40 + pickBelow(random, 160),
			priority,
			targetMs: targets[priority],
		};
	})).toSorted((a, b) => a.at - b.at);

/** Arrival times by thinning. */
const createArrivals = (rate: number, factor: (at: number) => number, durationMs: number, random: Random): number[] => {
	const maxFactor = 10;
	const arrivals: number[] = [];
	for (let at = 0; at < durationMs;) {
		at -= (Math.log(1 - random()) * 1000) / (rate * maxFactor);
		if (at < durationMs && random() < factor(at) / maxFactor) {
			arrivals.push(at);
		}
	}

	return arrivals;
};
