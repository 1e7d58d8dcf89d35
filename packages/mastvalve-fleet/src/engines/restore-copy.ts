/**
 * Loads models again that have lost their last copy, before anybody has to wait for them. Pure functions.
 *
 * Acts while the engines have room for all models. Takes free memory and copies that others can spare, never a last one, so
 * each load lowers the number of models without a copy.
 */

import {findMapped} from 'mastvalve-utils';
import {getModelSize} from './engine-memory.js';
import {isFree, listWorkOptions, type WorkOption} from './list-work-options.js';
import {WeightSource} from './weight-source.js';
import type {WorkPlan} from './work-plan.js';

/** Loads per second that the store keeps free for busy models, as a part of its rate. */
const storeReserveShare = 0.5;

/** Whether the store's rate leaves a load to models that aren't busy. */
export const hasSpareStoreLoad = ({availableStoreLoads, spec}: WorkPlan): boolean =>
	availableStoreLoads > Math.floor(spec.storeLoadsPerSecond * storeReserveShare);

/** Whether a model had a place before and is to have one again. */
export const isRestored = (plan: WorkPlan, model: string): boolean => plan.outlook.wasHeld(model) && plan.hasRoomForAll();

const countLoading = ({engines}: WorkPlan): number => engines.filter(({loading}) => loading !== undefined).length;

const countFree = ({engines}: WorkPlan): number => engines.filter(engine => isFree(engine)).length;

/** Whether a restored model that requests wait for may be loaded: the only load of a model that isn't busy, or one that leaves each busy model an engine. */
export const mayLoadRestored = (plan: WorkPlan): boolean => {
	const {engines, spec, outlook} = plan;
	const busy = spec.models.filter(({name}) => outlook.isBusy(name));
	return engines.every(({loading}) => loading === undefined || outlook.isBusy(loading)) || countFree(plan) > busy.length;
};

/** The same for a model that nobody waits for: engines without a load outnumber those with one too, so that a shift of demand finds engines that take orders. */
const mayLoadAhead = (plan: WorkPlan): boolean =>
	mayLoadRestored(plan) && (countLoading(plan) === 0 || countFree(plan) > countLoading(plan));

/** Lists the models without a copy that nobody waits for, nearest first, then the one that is asked for most. */
const listLost = (plan: WorkPlan): string[] => {
	const {spec, outlook, work} = plan;
	return spec.models
		.map(({name}) => name)
		.filter(model => work.holdersOf(model).length === 0 && !outlook.isBusy(model) && !plan.isAwaited(model) && outlook.wasHeld(model))
		.toSorted((a, b) => plan.nearestSecondsOf(a) - plan.nearestSecondsOf(b) || outlook.longRateOf(b) - outlook.longRateOf(a));
};

/** Returns the best option: the nearest source, then the cheapest eviction, then a gap that no large model fits into, then the engine with most time. */
const findPlace = (plan: WorkPlan, model: string): WorkOption | undefined => {
	const largest = Math.max(...plan.spec.models.map(({size}) => size));
	const countPlaces = (freeMb: number): number => Math.floor(freeMb / largest);
	const rank = ({loadSeconds, evictedLoss, freeMb, engine}: WorkOption): number[] =>
		[loadSeconds, evictedLoss, countPlaces(freeMb) - countPlaces(freeMb - getModelSize(plan.spec, model)), plan.work.utilizationOf(engine)];
	const [best] = listWorkOptions(plan, model)
		.filter(({source, evictsLast}) => !evictsLast && (source !== WeightSource.Store || hasSpareStoreLoad(plan)))
		.map(option => ({option, rank: rank(option)}))
		.toSorted((a, b) => a.rank.map((value, index) => value - (b.rank[index] ?? 0)).find(difference => difference !== 0) ?? 0);
	return best?.option;
};

/** Returns the next load that gives a model its copy back; undefined when there is none. */
export const findRestoringOption = (plan: WorkPlan): WorkOption | undefined => {
	const lost = mayLoadAhead(plan) ? listLost(plan) : [];
	return lost.length > 0 && plan.hasRoomForAll() ? findMapped(lost, model => findPlace(plan, model)) : undefined;
};
