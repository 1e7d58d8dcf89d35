/**
 * Lists the engines that can load a model now, each with what the load costs in requests. Pure functions.
 */

import {computeCopyLoss} from './copy-loss.js';
import {computeFreeMemory, getLoadSeconds, getModelSize} from './engine-memory.js';
import type {EngineState} from './engine-state.js';
import type {ModelMove} from './model-move.js';
import {findSource, WeightSource} from './weight-source.js';
import type {Place, WorkPlan} from './work-plan.js';

/** A move with its costs. */
export type WorkOption = ModelMove & {
	loadSeconds: number;
	/** Requests that the eviction costs. */
	evictedLoss: number;
	/** Whether the evicted copy is the last one of a declared model. */
	evictsLast: boolean;
	/** Memory before the load, once the evicted model is unloaded, MB. */
	freeMb: number;
	/** Requests per second that are late because the engine has other work, or works where others have failed together. */
	placePerSecond: number;
};

/** Minimum time for which a model stays where it was loaded, ms; also at least as long as its load took. */
const minResidencyMs = 1500;
const msPerSecond = 1000;
/** Part of a model's requests that is at risk if all its engines are in one failure domain. */
const sharedDomainRisk = 0.1;

const isSettled = ({spec, residencyMsOf}: WorkPlan, engine: EngineState, model: string): boolean =>
	residencyMsOf(engine.id, model) > Math.max(minResidencyMs, getLoadSeconds(spec, model, WeightSource.Store) * msPerSecond);

const isLastCopy = ({spec, work}: WorkPlan, model: string): boolean => work.countResident(model) <= 1 && Number.isFinite(getModelSize(spec, model));

const toPlace = (plan: WorkPlan, engine: EngineState, evict: string): Place => ({
	evict, loss: computeCopyLoss(plan, engine, evict), freeMb: computeFreeMemory(plan.spec, engine, evict), evictsLast: isLastCopy(plan, evict),
});

const listPlaces = (plan: WorkPlan, engine: EngineState): Place[] => [
	// An unresolved order may still use the free memory.
	...(engine.hasUnresolvedOrder
		? []
		: [{
			evict: undefined, loss: 0, freeMb: computeFreeMemory(plan.spec, engine), evictsLast: false,
		}]),
	...engine.holds
		.filter(({name}) => isSettled(plan, engine, name))
		.map(({name}) => toPlace(plan, engine, name))
		.filter(({loss}) => Number.isFinite(loss)),
];

/** Lists the places once a plan, since each load examines all of them. */
const findPlaces = (plan: WorkPlan, engine: EngineState): Place[] => {
	const places = plan.places.get(engine.id) ?? listPlaces(plan, engine);
	plan.places.set(engine.id, places);
	return places;
};

export const isFree = ({isReady, loading, retiring}: EngineState): boolean => isReady && loading === undefined && retiring === undefined;

/** Returns the utilization of an engine once it holds a model too and an evicted one no longer. */
const computeUtilizationAfter = ({work}: WorkPlan, engine: EngineState, load: string, evict: string | undefined): number =>
	work.utilizationOf(engine.id) - (evict === undefined ? 0 : work.shareOf(evict)) + work.shareOf(load, work.speedFor(engine, load));

const sharesDomain = ({work}: WorkPlan, {failureDomain}: EngineState, load: string): boolean =>
	work.holdersOf(load).length > 0 && work.holdersOf(load).every(holder => holder.failureDomain === failureDomain);

/** Returns all options to load a model now; an engine with enough free memory gets none with an eviction. */
export const listWorkOptions = (plan: WorkPlan, load: string): WorkOption[] => {
	const size = getModelSize(plan.spec, load);
	const rate = plan.outlook.rateOf(load);
	return plan.engines
		.filter(engine => isFree(engine) && engine.holds.every(({name}) => name !== load))
		.flatMap(engine => {
			const source = findSource(engine, load);
			if (source === WeightSource.Store && plan.availableStoreLoads <= 0) {
				return [];
			}

			const fitting = findPlaces(plan, engine).filter(({freeMb}) => size <= freeMb);
			const free = fitting.find(({evict}) => evict === undefined);
			return (free ? [free] : fitting).map(({evict, loss, freeMb, evictsLast}) => ({
				engine: engine.id, load, evict, source, loadSeconds: getLoadSeconds(plan.spec, load, source), evictedLoss: loss, evictsLast, freeMb,
				placePerSecond: rate * ((Math.max(0, computeUtilizationAfter(plan, engine, load, evict)) ** 2) + (sharesDomain(plan, engine, load) ? sharedDomainRisk : 0)),
			}));
		});
};

/** Returns the memory that an engine will have once its load has ended and its copies are settled, without evicting a last copy, MB. */
const computeLaterMb = (plan: WorkPlan, engine: EngineState): number => {
	const spare = engine.holds
		.filter(({name}) => name !== engine.retiring && !isLastCopy(plan, name))
		.map(({name}) => toPlace(plan, engine, name))
		.filter(({loss}) => Number.isFinite(loss));
	return Math.max(computeFreeMemory(plan.spec, engine), ...spare.map(({freeMb}) => freeMb));
};

/** Whether an engine will have a place for a model without evicting a last copy, though it may load now or the store allow no load. */
export const hasLaterPlace = (plan: WorkPlan, load: string): boolean => {
	const size = getModelSize(plan.spec, load);
	return plan.engines
		.filter(({isReady, holds}) => isReady && holds.every(({name}) => name !== load))
		.some(engine => {
			const laterMb = plan.laterMb.get(engine.id) ?? computeLaterMb(plan, engine);
			plan.laterMb.set(engine.id, laterMb);
			return size <= laterMb;
		});
};
