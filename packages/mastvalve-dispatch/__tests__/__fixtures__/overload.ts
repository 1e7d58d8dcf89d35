/**
 * More requests than engines can serve: three kinds by urgency, of four workspaces, one of which sends eight times its usual load.
 */

import {createRandom} from 'mastvalve-utils';
import type {EngineShape} from './replayed-engine.js';
import type {ReplayedRun} from './replayed-run.js';
import {createArrivals, createClaim} from './workloads.js';

const promptTokens = 3000;
const outputTokens = 20;
const speeds = [0.55, 1.2, 0.55, 1.2, 0.55, 1.2, 0.55, 1.2];
/** Reading and the step that it is part of, with engines that are 2.5 times slower for 15% of the time. */
const capacityPerSecond = speeds.reduce((sum, speed) => sum + (1000 * 0.91 / (5.5 + (promptTokens / 38 / speed))), 0);
export const kinds = [
	{kind: 'urgent', share: 0.4, targetMs: 1000}, {kind: 'usual', share: 0.3, targetMs: 3000}, {kind: 'batch', share: 0.3, targetMs: 8000},
];
export const workspaces = [{name: 'a', weight: 8}, {name: 'b', weight: 1}, {name: 'c', weight: 1}, {name: 'd', weight: 1}];
const totalWeight = workspaces.reduce((sum, {weight}) => sum + weight, 0);

export const createOverloadedFleet = (): EngineShape[] => speeds.map((speed, index) => ({
	id: `engine-${index}`, speed, models: ['hot'], slots: 128, tokenCapacity: 1_000_000,
}));

export const createOverload = (factor: number, seconds: number, seed: number): ReplayedRun[] => {
	const random = createRandom(seed);
	random();
	return kinds.flatMap(({kind, share, targetMs}, urgency) => workspaces.flatMap(({name, weight}) =>
		createArrivals({kind: `${kind}-${name}`, perSecond: factor * capacityPerSecond * share * weight / totalWeight, seconds}, random, id => createClaim({
			id, model: 'hot', workspace: name, promptTokens, outputTokens, urgency, objectiveMs: targetMs, targetMs, pauseMs: undefined,
		})))).toSorted((a, b) => a.arrivedAt - b.arrivedAt);
};

/** Share of the capacity that went into requests in their objective. */
export const goodput = (runs: readonly ReplayedRun[], seconds: number): number =>
	runs.filter(({isInObjective}) => isInObjective).length / seconds / capacityPerSecond;
