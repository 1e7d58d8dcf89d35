/**
 * Which model an engine loads next, and which gives way: pure.
 *
 * Models that requests wait for and models with too few engines compete by the requests that a load would serve in time;
 * what gives way is needed less.
 */

import type {EngineSpec} from '../configuration/served-service.js';
import {fits} from './engine-room.js';
import {EngineUse, type EngineUseInput} from './engine-use.js';
import type {EngineState} from './engine-state.js';
import {findSource, WeightSource} from './weight-source.js';

/** A change of one engine. */
export type ModelMove = {
	engine: string;
	load: string;
	/** What must be unloaded first. */
	evict: string | undefined;
	source: WeightSource;
};

/** A model that requests wait for, and how many do. */
export type WantedModel = {model: string; waiting: number};

/** What the plan rests on. */
export type ModelPlanInput = EngineUseInput & {
	spec: EngineSpec;
	/** Models that requests wait for. */
	wanted: readonly WantedModel[];
	/** Requests a second that may come soon: those of now, or a part of those of the models declared before it. */
	expectedRateOf: (model: string) => number;
	/** Time since a model was last asked for, ms. */
	idleOf: (model: string) => number;
	/** Time since a model was last asked for by a caller without time for a load, ms. */
	urgentIdleOf: (model: string) => number;
	/** How long an engine has held a model, ms. */
	heldFor: (engine: string, model: string) => number;
	/** Loads from the store that may begin now. */
	storeLoads: number;
};

/** A plan in the making. */
type Planning = ModelPlanInput & {use: EngineUse};

/** A model that was loaded for waiting requests serves for this long at the least, ms. */
const minServeMs = 1500;
/** A model counts as idle after this long without a request, ms. */
const idleAfterMs = 6000;
/** An additional engine must be wanted by this factor more than what gives way, so that models don't take turns. */
const hysteresis = 1.6;
/** Part of its time that an engine may spend on reading prompts, so that bursts find it free. Above it, a model gets one more engine. */
const comfortableShare = 0.5;
/** What a fully used engine costs as the place of another model, beside what a load costs. */
const usedEngineCost = 10;
/** Engines that load from the store for waiting requests at the same time, as a share of all; the others take orders. */
const maxStoreShare = 0.35;
/** Engines that load from the store for any reason while requests wait for models, as a share of all. */
const maxBusyShare = 0.5;
/** Time for which the demand for a model counts when several are waited for, s: about that of a change of places. */
const demandHorizonS = 4;
/** What gives way for a waiting request may be worth this many times as much as the load. */
const maxEvictedFactor = 2;
/** What a waiting request counts whose caller has no time: it will be late even after the load. */
const urgentWaitingShare = 0.3;
/** A model with this many requests a second is worth a load from the store whatever else is under way. */
const busyRate = 1;
/** A model that nobody holds counts this many times as much as one that needs another engine. */
const absentFactor = 3;
/** A load from the store keeps an engine from all other orders for 8 to 9 s; demand must be this much above. */
const storeFactor = 1.4;

const isFree = (engine: EngineState): boolean => engine.isReady && engine.loading === undefined && engine.retiring === undefined;

const sourceCost: Record<WeightSource, number> = {[WeightSource.Memory]: 1, [WeightSource.Disk]: 2.5, [WeightSource.Store]: 10};

/**
 * What the last place of a model that is still asked for is worth beside its demand, requests a second: little when its
 * callers have time for a load, more when each of them would be late without it.
 */
const askedWorth = 0.5;
const urgentWorth = 1.5;

/** How much a place is worth to a model: its demand, of now or soon, for each of its engines. */
const worthOfPlace = (input: Planning, model: string): number => {
	const holders = Math.max(1, input.use.countPresent(model));
	const rate = input.expectedRateOf(model);
	if (holders > 1) {
		return rate / holders;
	}

	// The last place of a model that is still asked for, or soon will be, is worth more than any second one.
	return rate + (input.idleOf(model) < idleAfterMs ? askedWorth : 0) + (input.urgentIdleOf(model) < idleAfterMs ? urgentWorth : 0);
};

/** Cost of each request a second for adapters of an engine that takes no orders for the time of a load from the store. */
const blockedAdapterCost = 2;

/** Requests a second that an engine gets for models with adapters. */
const adapterDemand = (input: Planning, engine: EngineState): number =>
	engine.holds
		.filter(({name}) => input.spec.models.some(model => model.name === name && model.adapterCount > 0))
		.reduce((sum, {name}) => sum + (input.rateOf(name) / Math.max(1, input.use.countHolders(name))), 0);

type Candidate = ModelMove & {cost: number; evictedWorth: number};

/** All ways to bring a model to an engine now. */
const listWays = (input: Planning, load: string): Candidate[] =>
	input.engines
		.filter(engine => isFree(engine) && !engine.holds.some(({name}) => name === load))
		.flatMap((engine): Candidate[] => {
			const source = findSource(engine, load);
			if (source === WeightSource.Store && input.storeLoads <= 0) {
				return [];
			}

			const way = {engine: engine.id, load, source};
			const loadCost = sourceCost[source] + (input.use.usedShare(engine) * usedEngineCost) + (source === WeightSource.Store ? adapterDemand(input, engine) * blockedAdapterCost : 0);
			if (fits(input.spec, engine, load) && !engine.hasLateOrder) {
				return [{
					...way, evict: undefined, evictedWorth: 0, cost: loadCost,
				}];
			}

			return engine.holds
				.filter(({name}) => fits(input.spec, engine, load, name) && input.heldFor(engine.id, name) > minServeMs)
				.map(({name}) => {
					const evictedWorth = worthOfPlace(input, name);
					return {
						...way, evict: name, evictedWorth, cost: loadCost + (evictedWorth * 3) + 1,
					};
				});
		});

const cheapest = (ways: readonly Candidate[]): Candidate | undefined => ways.toSorted((a, b) => a.cost - b.cost)[0];

const toMove = ({engine, load, evict, source}: Candidate): ModelMove => ({
	engine, load, evict, source,
});

const countStoreLoads = (engines: readonly EngineState[]): number =>
	engines.filter(engine => engine.loading !== undefined && findSource(engine, engine.loading) === WeightSource.Store).length;

/**
 * Ways to bring a model for which requests wait. While some engine has a copy of the weights, that one is waited for:
 * loads from the store would keep one engine after the other from all orders.
 */
const listWaysForWaiting = (input: Planning, model: string): Candidate[] => {
	const hasCopy = input.engines.some(engine => findSource(engine, model) !== WeightSource.Store);
	const storeLoading = countStoreLoads(input.engines);
	const isBusy = input.rateOf(model) >= busyRate;
	const mayUseStore = isBusy || (!hasCopy && storeLoading < Math.max(1, Math.floor(input.engines.length * maxStoreShare)));
	return listWays(input, model).filter(way => mayUseStore || way.source !== WeightSource.Store);
};

/** A load that may be worth it, and all ways to bring it about now. */
type Proposal = {worth: number; ways: Candidate[]};

/** What a load is worth to those who wait for it, and to those who will come. */
const worthOfLoad = (input: Planning, {model, waiting}: WantedModel): number =>
	(input.rateOf(model) * demandHorizonS) + (waiting * (input.urgentIdleOf(model) < idleAfterMs ? urgentWaitingShare : 1));

/** Loads for requests that wait. What gives way may not be worth much more than what comes. */
const proposeForWaiting = (input: Planning): Proposal[] =>
	input.wanted
		.filter(({model}) => input.use.countHolders(model) === 0)
		.map(wanted => {
			const worth = worthOfLoad(input, wanted);
			return {worth, ways: listWaysForWaiting(input, wanted.model).filter(way => way.evictedWorth < worth * maxEvictedFactor)};
		});

/** What one more engine is worth to a model: the requests that are too many for those that hold it, now or, by half, soon. */
const worthOfEngine = (input: Planning, model: string): number => {
	const overload = (rate: number): number => rate * Math.max(0, 1 - (comfortableShare / input.use.pressureOn(model, rate)));
	return (overload(input.rateOf(model)) + overload(input.expectedRateOf(model))) / 2 * demandHorizonS;
};

/** Loads that give a model with much demand one more engine. */
const proposeForDemand = (input: Planning): Proposal[] => {
	const mayUseStore = input.wanted.length === 0 || countStoreLoads(input.engines) < Math.max(1, Math.floor(input.engines.length * maxBusyShare));
	return input.spec.models
		.map(({name}) => {
			const holders = input.use.countHolders(name);
			const rate = input.expectedRateOf(name) * (holders === 0 ? absentFactor : 1);
			return {
				name, worth: worthOfEngine(input, name), load: rate / Math.max(1, holders), pressure: input.use.pressureOn(name, rate),
			};
		})
		.filter(({pressure}) => pressure > comfortableShare)
		.map(({name, worth, load, pressure}) => ({
			worth,
			ways: listWays(input, name).filter(way =>
				way.evictedWorth * hysteresis < load && (way.source !== WeightSource.Store || (mayUseStore && pressure > comfortableShare * storeFactor))),
		}));
};

/** The next move, or undefined: the cheapest way to the load that is worth most. */
export const planModelMove = (given: ModelPlanInput): ModelMove | undefined => {
	const input = {...given, use: new EngineUse(given)};
	const way = [...proposeForWaiting(input), ...proposeForDemand(input)]
		.toSorted((a, b) => b.worth - a.worth)
		.map(({ways}) => cheapest(ways))
		.find(each => each !== undefined);
	return way && toMove(way);
};
