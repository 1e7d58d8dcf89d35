/**
 * All ways to bring a model to an engine now, and what each costs: pure.
 *
 * A way is a place at an engine that takes orders, free or of a model that gives way. Places are worked out once for a plan,
 * since each load looks at all of them.
 */

import {getLoadSeconds, computeFreeMemory, getModelSize} from './engine-memory.js';
import {EngineUtilization} from './engine-utilization.js';
import type {EngineState} from './engine-state.js';
import type {ModelMove} from './model-move.js';
import type {ModelPlanInput} from './model-plan-input.js';
import {findSource, WeightSource} from './weight-source.js';

/** What is worked out once for a plan. */
type PlanFacts = ModelPlanInput & {
	use: EngineUtilization;
	/** Models with adapters. */
	withAdapters: ReadonlySet<string>;
};

/** A plan in the making. */
export type Planning = PlanFacts & {takers: Taker[]};

/** A model that was loaded for waiting requests serves for this long at the least, ms. */
const minServeMs = 1500;
/** A model counts as idle after this long without a request, ms. */
export const idleAfterMs = 6000;
/** What a fully used engine costs as the place of another model, beside what a load costs. */
const usedEngineCost = 10;

const isFree = (engine: EngineState): boolean => engine.isReady && engine.loading === undefined && engine.retiring === undefined;

/**
 * What the last place of a model that is still asked for is worth beside its demand, requests a second: little when its
 * callers have time for a load, more when each of them would be late without it.
 */
const askedWorth = 0.5;
const urgentWorth = 1.5;

/** How much a place is worth to a model: its demand, of now or soon, for each of its engines. */
const worthOfPlace = (input: PlanFacts, model: string): number => {
	const holders = Math.max(1, input.use.countResident(model));
	const rate = input.expectedRateOf(model);
	if (holders > 1) {
		return rate / holders;
	}

	// The last place of a model that is still asked for, or soon will be, is worth more than any second one.
	return rate + (input.idleMsOf(model) < idleAfterMs ? askedWorth : 0) + (input.urgentIdleMsOf(model) < idleAfterMs ? urgentWorth : 0);
};

/** Cost of each request a second for adapters of an engine that takes no orders for the time of a load from the store. */
const blockedAdapterCost = 2;

/** Requests a second that an engine gets for models with adapters. */
const adapterDemand = (input: PlanFacts, engine: EngineState): number =>
	engine.holds
		.filter(({name}) => input.withAdapters.has(name))
		.reduce((sum, {name}) => sum + (input.rateOf(name) / Math.max(1, input.use.countHolders(name))), 0);

/** A place at an engine, MB: beside all that it holds, or that of a model which gives way. */
type Place = {evict: string | undefined; evictedWorth: number; room: number};

/** An engine that takes orders now, with its places; worked out once for a plan, since each load looks at all of them. */
type Taker = {engine: EngineState; held: ReadonlySet<string>; places: Place[]; usedCost: number; storeCost: number};

const listPlaces = (input: PlanFacts, engine: EngineState): Place[] => [
	// An order that may still come late could take the free place.
	...(engine.hasUnresolvedOrder ? [] : [{evict: undefined, evictedWorth: 0, room: computeFreeMemory(input.spec, engine)}]),
	...engine.holds
		.filter(({name}) => input.residencyMsOf(engine.id, name) > minServeMs)
		.map(({name}) => ({evict: name, evictedWorth: worthOfPlace(input, name), room: computeFreeMemory(input.spec, engine, name)})),
];

const listTakers = (input: PlanFacts): Taker[] =>
	input.engines.filter(engine => isFree(engine)).map(engine => ({
		engine,
		held: new Set(engine.holds.map(({name}) => name)),
		places: listPlaces(input, engine),
		// An engine that takes few requests would bring a model little more room than none.
		usedCost: (engine.limitPerSecond === undefined ? input.use.utilizationOf(engine) : 1) * usedEngineCost,
		storeCost: adapterDemand(input, engine) * blockedAdapterCost,
	}));

/** Works out once what each load of a plan asks for. */
export const preparePlanning = (given: ModelPlanInput): Planning => {
	const withAdapters = new Set(given.spec.models.filter(({adapterCount}) => adapterCount > 0).map(({name}) => name));
	const facts = {...given, use: new EngineUtilization(given), withAdapters};
	return {...facts, takers: listTakers(facts)};
};

/** A change that is possible now, with what it costs and the worth of the place that gives way. */
export type LoadWay = ModelMove & {cost: number; evictedWorth: number};

/** Least demand by which the time of a load counts, requests/s: a model that nobody asks for is no reason for a slow way either. */
const leastNeed = 1;

/**
 * All ways to bring a model to an engine now; one with a free place for it needs no other. `need` is what goes unserved until the
 * load ends, in requests a second, so that a busy model takes the place next to its weights also when that gives more away. The
 * load that it answers: demand moves to models whose weights lie on the disks of a few engines. With one price for each source,
 * models would be fetched from the store although a free engine has their weights near.
 */
export const listWays = (input: Planning, load: string, need: number): LoadWay[] => {
	const size = getModelSize(input.spec, load);
	const lostPerSecond = Math.max(leastNeed, need);
	return input.takers
		.filter(({held}) => !held.has(load))
		.flatMap(({engine, places, usedCost, storeCost}): LoadWay[] => {
			const source = findSource(engine, load);
			if (source === WeightSource.Store && input.availableStoreLoads <= 0) {
				return [];
			}

			const loadCost = (getLoadSeconds(input.spec, load, source) * lostPerSecond) + usedCost + (source === WeightSource.Store ? storeCost : 0);
			const fitting = places.filter(({room}) => size <= room);
			const free = fitting.find(({evict}) => evict === undefined);
			return (free ? [free] : fitting).map(({evict, evictedWorth}) => ({
				engine: engine.id, load, source, evict, evictedWorth, cost: loadCost + (evict === undefined ? 0 : (evictedWorth * 3) + 1),
			}));
		});
};
