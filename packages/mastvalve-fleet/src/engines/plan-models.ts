/**
 * Which model an engine loads next, and which gives way: pure.
 *
 * Models that requests wait for and models with too few engines compete by the requests that a load would serve in time;
 * what gives way is needed less.
 */

import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineModel} from '../configuration/engine-model.js';
import {findSource, WeightSource, type EngineState} from './engine-state.js';

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
export type ModelPlanInput = {
	spec: EngineSpec;
	engines: readonly EngineState[];
	/** Models that requests wait for. */
	wanted: readonly WantedModel[];
	/** Requests a second. */
	rateOf: (model: string) => number;
	/** Time in which an engine without a queue begins an answer with a model, ms: mostly the reading of the prompt. */
	headMsOf: (model: string) => number;
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

/** A model that was loaded for waiting requests serves for this long at the least, ms. */
const minServeMs = 1500;
/** A model counts as idle after this long without a request, ms. */
const idleAfterMs = 6000;
/** An additional engine must be wanted by this factor more than what gives way, so that models don't take turns. */
const hysteresis = 1.6;
/** Part of its time that an engine may spend on reading prompts, so that bursts find it free. Above it, a model gets one more engine. */
const comfortableShare = 0.5;
/** A model that takes less of an engine's time than this doesn't get another engine because of the others there. */
const minOwnShare = 0.1;
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

const memoryOf = (models: ReadonlyMap<string, EngineModel>, engine: EngineState): number => {
	const held = engine.holds.reduce((sum, {name, adapters}) => {
		const model = models.get(name);
		return sum + (model?.size ?? 0) + (adapters.length * (model?.adapterSize ?? 0));
	}, 0);
	const loading = engine.loading === undefined || engine.holds.some(({name}) => name === engine.loading) ? 0 : models.get(engine.loading)?.size ?? 0;
	const adapters = engine.loadingAdapters.reduce((sum, name) => sum + (models.get(name.split('/', 1)[0] ?? '')?.adapterSize ?? 0), 0);
	return held + loading + adapters;
};

/** Room that an engine keeps for adapters, MB: all its slots with the largest ones. */
const adapterReserve = (spec: EngineSpec): number => spec.adapterSlots * Math.max(0, ...spec.models.map(model => model.adapterSize));

/** Whether a model fits beside all that an engine holds or was ordered to load. */
export const fits = (spec: EngineSpec, engine: EngineState, model: string, without?: string): boolean => {
	const models = new Map(spec.models.map(each => [each.name, each]));
	const remaining = without === undefined ? engine : {...engine, holds: engine.holds.filter(({name}) => name !== without)};
	return memoryOf(models, remaining) + (models.get(model)?.size ?? Number.POSITIVE_INFINITY) + adapterReserve(spec) <= spec.weightCapacity;
};

/** How many engines hold a model, or are about to. */
const countHolders = (engines: readonly EngineState[], model: string): number =>
	engines.filter(engine => (engine.holds.some(({name}) => name === model) && engine.retiring !== model) || engine.loading === model).length;

const isFree = (engine: EngineState): boolean => engine.isReady && engine.loading === undefined && engine.retiring === undefined;

const sourceCost: Record<WeightSource, number> = {[WeightSource.Memory]: 1, [WeightSource.Disk]: 2.5, [WeightSource.Store]: 10};

/**
 * What the last place of a model that is still asked for is worth beside its demand, requests a second: little when its
 * callers have time for a load, more when each of them would be late without it.
 */
const askedWorth = 0.5;
const urgentWorth = 1.5;

/** How many engines hold a model now; one that is on its way serves nobody yet. */
const countPresent = (engines: readonly EngineState[], model: string): number =>
	engines.filter(engine => engine.holds.some(({name}) => name === model) && engine.retiring !== model).length;

const msPerSecond = 1000;

/** Part of its time that an engine spends on the requests of one of the models that it holds. */
const shareOfEngine = (input: ModelPlanInput, model: string, rate: number): number =>
	rate * input.headMsOf(model) / msPerSecond / Math.max(1, countHolders(input.engines, model));

/** Part of its time that an engine spends on all requests. */
const usedShare = (input: ModelPlanInput, engine: EngineState): number =>
	engine.holds
		.filter(({name}) => name !== engine.retiring)
		.reduce((sum, {name}) => sum + shareOfEngine(input, name, input.rateOf(name)), 0);

/** How much of their time the engines of a model spend: on its own requests, and on those of the models beside it if it has a part in that. */
const pressureOn = (input: ModelPlanInput, model: string, rate: number): number => {
	const own = shareOfEngine(input, model, rate);
	const holders = input.engines.filter(({holds}) => holds.some(({name}) => name === model));
	const used = holders.reduce((sum, engine) => sum + usedShare(input, engine), 0) / Math.max(1, holders.length);
	return own < minOwnShare ? own : Math.max(own, used);
};

/** How much a place is worth to a model: its demand, of now or soon, for each of its engines. */
const worthOfPlace = (input: ModelPlanInput, model: string): number => {
	const holders = Math.max(1, countPresent(input.engines, model));
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
const adapterDemand = (input: ModelPlanInput, engine: EngineState): number =>
	engine.holds
		.filter(({name}) => input.spec.models.some(model => model.name === name && model.adapterCount > 0))
		.reduce((sum, {name}) => sum + (input.rateOf(name) / Math.max(1, countHolders(input.engines, name))), 0);

type Candidate = ModelMove & {cost: number; evictedWorth: number};

/** All ways to bring a model to an engine now. */
const listWays = (input: ModelPlanInput, load: string): Candidate[] =>
	input.engines
		.filter(engine => isFree(engine) && !engine.holds.some(({name}) => name === load))
		.flatMap((engine): Candidate[] => {
			const source = findSource(engine, load);
			if (source === WeightSource.Store && input.storeLoads <= 0) {
				return [];
			}

			const way = {engine: engine.id, load, source};
			const loadCost = sourceCost[source] + (usedShare(input, engine) * usedEngineCost) + (source === WeightSource.Store ? adapterDemand(input, engine) * blockedAdapterCost : 0);
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
const listWaysForWaiting = (input: ModelPlanInput, model: string): Candidate[] => {
	const hasCopy = input.engines.some(engine => findSource(engine, model) !== WeightSource.Store);
	const storeLoading = countStoreLoads(input.engines);
	const isBusy = input.rateOf(model) >= busyRate;
	const mayUseStore = isBusy || (!hasCopy && storeLoading < Math.max(1, Math.floor(input.engines.length * maxStoreShare)));
	return listWays(input, model).filter(way => mayUseStore || way.source !== WeightSource.Store);
};

/** A load that may be worth it, and all ways to bring it about now. */
type Proposal = {worth: number; ways: Candidate[]};

/** What a load is worth to those who wait for it, and to those who will come. */
const worthOfLoad = (input: ModelPlanInput, {model, waiting}: WantedModel): number =>
	(input.rateOf(model) * demandHorizonS) + (waiting * (input.urgentIdleOf(model) < idleAfterMs ? urgentWaitingShare : 1));

/** Loads for requests that wait. What gives way may not be worth much more than what comes. */
const proposeForWaiting = (input: ModelPlanInput): Proposal[] =>
	input.wanted
		.filter(({model}) => countHolders(input.engines, model) === 0)
		.map(wanted => {
			const worth = worthOfLoad(input, wanted);
			return {worth, ways: listWaysForWaiting(input, wanted.model).filter(way => way.evictedWorth < worth * maxEvictedFactor)};
		});

/** What one more engine is worth to a model: the requests that are too many for those that hold it, now or, by half, soon. */
const worthOfEngine = (input: ModelPlanInput, model: string): number => {
	const overload = (rate: number): number => rate * Math.max(0, 1 - (comfortableShare / pressureOn(input, model, rate)));
	return (overload(input.rateOf(model)) + overload(input.expectedRateOf(model))) / 2 * demandHorizonS;
};

/** Loads that give a model with much demand one more engine. */
const proposeForDemand = (input: ModelPlanInput): Proposal[] => {
	const mayUseStore = input.wanted.length === 0 || countStoreLoads(input.engines) < Math.max(1, Math.floor(input.engines.length * maxBusyShare));
	return input.spec.models
		.map(({name}) => {
			const holders = countHolders(input.engines, name);
			const rate = input.expectedRateOf(name) * (holders === 0 ? absentFactor : 1);
			return {
				name, worth: worthOfEngine(input, name), load: rate / Math.max(1, holders), pressure: pressureOn(input, name, rate),
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
export const planModelMove = (input: ModelPlanInput): ModelMove | undefined => {
	const way = [...proposeForWaiting(input), ...proposeForDemand(input)]
		.toSorted((a, b) => b.worth - a.worth)
		.map(({ways}) => cheapest(ways))
		.find(each => each !== undefined);
	return way && toMove(way);
};
