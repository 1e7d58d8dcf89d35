/**
 * Which model an engine loads next, and which gives way: pure.
 *
 * Models that requests wait for and models with too few engines compete by the requests that a load would serve in time;
 * what gives way is needed less.
 */

import {findMapped, minBy} from 'mastvalve-utils';
import type {EngineState} from './engine-state.js';
import {
	idleAfterMs, listWays, preparePlanning, type LoadWay, type Planning,
} from './list-load-options.js';
import type {ModelMove} from './model-move.js';
import type {ModelPlanInput, PendingModel} from './model-plan-input.js';
import {findSource, WeightSource} from './weight-source.js';

/** An additional engine must be wanted by this factor more than what gives way, so that models don't take turns. */
const hysteresis = 1.6;
/** Part of its time that an engine may spend on reading prompts, so that bursts find it free. Above it, a model gets one more engine. */
const comfortableShare = 0.5;
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

const cheapest = (ways: readonly LoadWay[]): LoadWay | undefined => minBy(ways, ({cost}) => cost);

const toMove = ({engine, load, evict, source}: LoadWay): ModelMove => ({
	engine, load, evict, source,
});

const countStoreLoads = (engines: readonly EngineState[]): number =>
	engines.filter(engine => engine.loading !== undefined && findSource(engine, engine.loading) === WeightSource.Store).length;

/**
 * Ways to bring a model for which requests wait. While some engine has a copy of the weights, that one is waited for:
 * loads from the store would keep one engine after the other from all orders.
 */
const listWaysForWaiting = (input: Planning, model: string, worth: number): LoadWay[] => {
	const hasCopy = input.engines.some(engine => findSource(engine, model) !== WeightSource.Store);
	const storeLoading = countStoreLoads(input.engines);
	const isBusy = input.rateOf(model) >= busyRate;
	const mayUseStore = isBusy || (!hasCopy && storeLoading < Math.max(1, Math.floor(input.engines.length * maxStoreShare)));
	return listWays(input, model, worth / demandHorizonS).filter(way => mayUseStore || way.source !== WeightSource.Store);
};

/** A load that may be worth it, and all ways to bring it about now, listed only when it is its turn. */
type Proposal = {worth: number; listWays: () => LoadWay[]};

/** What a load is worth to those who wait for it, and to those who will come. */
const worthOfLoad = (input: Planning, {model, waiting}: PendingModel): number =>
	(input.rateOf(model) * demandHorizonS) + (waiting * (input.urgentIdleMsOf(model) < idleAfterMs ? urgentWaitingShare : 1));

/** Loads for requests that wait. What gives way may not be worth much more than what comes. */
const proposeForWaiting = (input: Planning): Proposal[] =>
	input.pending
		.filter(({model}) => !input.use.hasUnlimitedHolder(model))
		.map(wanted => {
			const worth = worthOfLoad(input, wanted);
			return {worth, listWays: () => listWaysForWaiting(input, wanted.model, worth).filter(way => way.evictedWorth < worth * maxEvictedFactor)};
		});

/** What one more engine is worth to a model: the requests that are too many for those that hold it, now or, by half, soon. */
const worthOfEngine = (input: Planning, model: string): number => {
	const overload = (rate: number): number => rate * Math.max(0, 1 - (comfortableShare / input.use.utilizationOfHolders(model, rate)));
	return (overload(input.rateOf(model)) + overload(input.expectedRateOf(model))) / 2 * demandHorizonS;
};

/** How much of their time the engines of a model spend on it at a rate; a model that nobody holds counts more. */
const pressureAt = ({use}: Planning, model: string, rate: number): number =>
	use.utilizationOfHolders(model, rate * (use.countHolders(model) === 0 ? absentFactor : 1));

/**
 * Whether a way takes nothing from a resident model for the sake of a guess. Engines hold at the start what they were used
 * for before; that is evidence, and what is supposed before the first request isn't. A guess that takes
 * places at full engines leaves most models nowhere before the first request, and their first callers wait for loads.
 */
const sparesResident = ({use}: Planning, {evict}: LoadWay): boolean => evict === undefined || use.countResident(evict) > 1;

/** Loads that give a model with much demand one more engine. */
const proposeForDemand = (input: Planning): Proposal[] => {
	const mayUseStore = input.pending.length === 0 || countStoreLoads(input.engines) < Math.max(1, Math.floor(input.engines.length * maxBusyShare));
	return input.spec.models
		.map(({name}) => ({name, pressure: pressureAt(input, name, input.expectedRateOf(name))}))
		.filter(({pressure}) => pressure > comfortableShare)
		.map(({name, pressure}) => {
			const holders = input.use.countHolders(name);
			const load = input.expectedRateOf(name) * (holders === 0 ? absentFactor : 1) / Math.max(1, holders);
			const worth = worthOfEngine(input, name);
			const isShown = pressureAt(input, name, input.observedRateOf(name)) > comfortableShare;
			const mayFetch = mayUseStore && pressure > comfortableShare * storeFactor;
			return {
				worth,
				listWays: () => listWays(input, name, worth / demandHorizonS).filter(way =>
					way.evictedWorth * hysteresis < load && (isShown || sparesResident(input, way)) && (way.source !== WeightSource.Store || mayFetch)),
			};
		});
};

/** The next move, or undefined: the cheapest way to the load that is worth most. */
export const planModelMove = (given: ModelPlanInput): ModelMove | undefined => {
	const input = preparePlanning(given);
	const way = findMapped(
		[...proposeForWaiting(input), ...proposeForDemand(input)].toSorted((a, b) => b.worth - a.worth),
		proposal => cheapest(proposal.listWays()),
	);
	return way && toMove(way);
};
