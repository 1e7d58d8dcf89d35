/**
 * Lists the options to load a model on an engine now, with the cost of each. Pure functions.
 *
 * An option is an engine that accepts orders, with free memory or a model to evict. Candidates are computed once per plan,
 * since each load examines all of them.
 */

import {getLoadSeconds, computeFreeMemory, getModelSize} from './engine-memory.js';
import {EngineUtilization} from './engine-utilization.js';
import type {EngineState} from './engine-state.js';
import type {ModelMove} from './model-move.js';
import type {ModelPlanInput} from './model-plan-input.js';
import {findSource, WeightSource} from './weight-source.js';

/** Input of a plan with the data derived from it once. */
type PlanData = ModelPlanInput & {
	utilization: EngineUtilization;
	/** Models with adapters. */
	withAdapters: ReadonlySet<string>;
};

/** Input of a plan with the engines that may load a model. */
export type PlanContext = PlanData & {candidates: LoadCandidate[]};

/** Minimum residency of a model before it may be evicted, ms, so that it serves the requests it was loaded for. */
const minResidencyMs = 1500;
/** Time without a request after which a model counts as idle, ms. */
export const idleThresholdMs = 6000;
/** Cost of loading another model on a fully utilized engine, in addition to the cost of the load. */
const fullUtilizationCost = 10;

const isFree = (engine: EngineState): boolean => engine.isReady && engine.loading === undefined && engine.retiring === undefined;

/**
 * Value of the last resident copy of a recently requested model in addition to its demand, requests/s: low when deadlines
 * leave time for a load, higher when each request would miss its deadline without the copy.
 */
const recentDemandValue = 0.5;
const urgentDemandValue = 1.5;

/** Returns the value of one resident copy of a model: its forecast demand per engine, requests/s. */
const computeResidencyValue = (input: PlanData, model: string): number => {
	const holders = Math.max(1, input.utilization.countResident(model));
	const rate = input.expectedRateOf(model);
	if (holders > 1) {
		return rate / holders;
	}

	// The last copy of a model with recent or expected demand is worth more than any second copy.
	return rate + (input.idleMsOf(model) < idleThresholdMs ? recentDemandValue : 0) + (input.urgentIdleMsOf(model) < idleThresholdMs ? urgentDemandValue : 0);
};

/** Cost per adapter request/s of an engine, which accepts no orders during a load from the store. */
const blockedAdapterCost = 2;

/** Returns the requests per second that an engine gets for models with adapters. */
const sumAdapterRates = (input: PlanData, engine: EngineState): number =>
	engine.holds
		.filter(({name}) => input.withAdapters.has(name))
		.reduce((sum, {name}) => sum + (input.rateOf(name) / Math.max(1, input.utilization.countHolders(name))), 0);

/** Memory available on an engine, MB: its free memory, or that after an eviction. */
type AvailableMemory = {evict: string | undefined; evictedValue: number; freeMb: number};

/** An engine that accepts orders now. */
type LoadCandidate = {engine: EngineState; held: ReadonlySet<string>; availableMemory: AvailableMemory[]; utilizationCost: number; storeCost: number};

const listAvailableMemory = (input: PlanData, engine: EngineState): AvailableMemory[] => [
	// An unresolved order may still use the free memory.
	...(engine.hasUnresolvedOrder ? [] : [{evict: undefined, evictedValue: 0, freeMb: computeFreeMemory(input.spec, engine)}]),
	...engine.holds
		.filter(({name}) => input.residencyMsOf(engine.id, name) > minResidencyMs)
		.map(({name}) => ({evict: name, evictedValue: computeResidencyValue(input, name), freeMb: computeFreeMemory(input.spec, engine, name)})),
];

const listCandidates = (input: PlanData): LoadCandidate[] =>
	input.engines.filter(engine => isFree(engine)).map(engine => ({
		engine,
		held: new Set(engine.holds.map(({name}) => name)),
		availableMemory: listAvailableMemory(input, engine),
		// An engine with a limit adds little capacity for a model.
		utilizationCost: (engine.limitPerSecond === undefined ? input.utilization.utilizationOf(engine) : 1) * fullUtilizationCost,
		storeCost: sumAdapterRates(input, engine) * blockedAdapterCost,
	}));

/** Computes once the data that each load of a plan needs. */
export const createPlanContext = (given: ModelPlanInput): PlanContext => {
	const withAdapters = new Set(given.spec.models.filter(({adapterCount}) => adapterCount > 0).map(({name}) => name));
	const data = {...given, utilization: new EngineUtilization(given), withAdapters};
	return {...data, candidates: listCandidates(data)};
};

/** A move that is possible now, with its cost and the value of the evicted copy. */
export type LoadOption = ModelMove & {cost: number; evictedValue: number};

/** Minimum demand by which the duration of a load is weighted, requests/s, so that a model without demand isn't loaded from a slow source either. */
const minUnservedPerSecond = 1;

/**
 * Returns the options to load a model now; an engine with enough free memory gets no option with an eviction.
 *
 * `unservedPerSecond` is the demand that goes unserved until the load ends, so a busy model is loaded where its weights are near
 * even if the evicted model is worth more. Demand shifts to models whose weights are on the disks of a few engines: with a fixed
 * cost per source, models would be loaded from the store although a free engine has their weights near.
 */
export const listLoadOptions = (input: PlanContext, load: string, unservedPerSecond: number): LoadOption[] => {
	const size = getModelSize(input.spec, load);
	const lostPerSecond = Math.max(minUnservedPerSecond, unservedPerSecond);
	return input.candidates
		.filter(({held}) => !held.has(load))
		.flatMap(({engine, availableMemory, utilizationCost, storeCost}): LoadOption[] => {
			const source = findSource(engine, load);
			if (source === WeightSource.Store && input.availableStoreLoads <= 0) {
				return [];
			}

			const loadCost = (getLoadSeconds(input.spec, load, source) * lostPerSecond) + utilizationCost + (source === WeightSource.Store ? storeCost : 0);
			const fitting = availableMemory.filter(({freeMb}) => size <= freeMb);
			const free = fitting.find(({evict}) => evict === undefined);
			return (free ? [free] : fitting).map(({evict, evictedValue}) => ({
				engine: engine.id, load, source, evict, evictedValue, cost: loadCost + (evict === undefined ? 0 : (evictedValue * 3) + 1),
			}));
		});
};
