/**
 * Decides which model an engine loads next, and which model it evicts. Pure functions.
 *
 * Models with queued requests and models with too few engines compete by the number of requests that a load would serve in
 * time; the evicted model has less value.
 */

import {findMapped, minBy} from 'mastvalve-utils';
import type {EngineState} from './engine-state.js';
import {
	idleThresholdMs, listLoadOptions, createPlanContext, type LoadOption, type PlanContext,
} from './list-load-options.js';
import type {ModelMove} from './model-move.js';
import type {ModelPlanInput, PendingModel} from './model-plan-input.js';
import {planMoveByWork} from './plan-move-by-work.js';
import {findSource, WeightSource} from './weight-source.js';

/** Factor by which the value of an additional engine must exceed that of the evicted model, so that models don't evict each other repeatedly. */
const hysteresis = 1.6;
/** Share of its time that an engine may spend on reading prompts, which leaves capacity for bursts. Above it, a model gets one more engine. */
const targetUtilization = 0.5;
/** Share of all engines that may load from the store for queued requests at the same time; the others remain available for orders. */
const maxQueuedStoreShare = 0.35;
/** Share of all engines that may load from the store for any reason while requests for a model are queued. */
const maxTotalStoreShare = 0.5;
/** Time for which demand counts when models are compared, s: about the duration of a model change. */
const demandHorizonS = 4;
/** A model evicted for a queued request may have up to this many times the value of the load. */
const maxEvictedFactor = 2;
/** Weight of a queued request whose deadline leaves no time for a load: it misses the deadline even after the load. */
const urgentQueuedWeight = 0.3;
/** Requests per second from which a model is loaded from the store regardless of other loads in flight. */
const busyRatePerSecond = 1;
/** Weight of a model that no engine holds or loads, relative to one that needs another engine. */
const absentFactor = 3;
/** Factor by which demand must exceed the threshold for a load from the store, which blocks an engine for all other orders for 8 to 9 s. */
const storeDemandFactor = 1.4;

const findCheapest = (options: readonly LoadOption[]): LoadOption | undefined => minBy(options, ({cost}) => cost);

const toMove = ({engine, load, evict, source}: LoadOption): ModelMove => ({
	engine, load, evict, source,
});

const countStoreLoads = (engines: readonly EngineState[]): number =>
	engines.filter(engine => engine.loading !== undefined && findSource(engine, engine.loading) === WeightSource.Store).length;

/**
 * Lists the options to load a model with queued requests. While an engine has a copy of the weights, only a busy model is
 * loaded from the store; otherwise such loads would block one engine after another for all orders.
 */
const listOptionsForQueued = (input: PlanContext, model: string, value: number): LoadOption[] => {
	const hasCopy = input.engines.some(engine => findSource(engine, model) !== WeightSource.Store);
	const storeLoading = countStoreLoads(input.engines);
	const isBusy = input.rateOf(model) >= busyRatePerSecond;
	const mayUseStore = isBusy || (!hasCopy && storeLoading < Math.max(1, Math.floor(input.engines.length * maxQueuedStoreShare)));
	return listLoadOptions(input, model, value / demandHorizonS).filter(option => mayUseStore || option.source !== WeightSource.Store);
};

/** A load with its value in requests. Its options are listed only when no more valuable load has any. */
type Proposal = {value: number; listOptions: () => LoadOption[]};

/** Returns the value of a load for queued requests and for those expected within the horizon, in requests. */
const computeLoadValue = (input: PlanContext, {model, waiting}: PendingModel): number =>
	(input.rateOf(model) * demandHorizonS) + (waiting * (input.urgentIdleMsOf(model) < idleThresholdMs ? urgentQueuedWeight : 1));

/** Proposes loads for queued requests. The evicted model may not be worth much more than the loaded one. */
const proposeForQueued = (input: PlanContext): Proposal[] =>
	input.pending
		.filter(({model}) => !input.utilization.hasUnlimitedHolder(model))
		.map(queued => {
			const value = computeLoadValue(input, queued);
			return {value, listOptions: () => listOptionsForQueued(input, queued.model, value).filter(option => option.evictedValue < value * maxEvictedFactor)};
		});

/** Returns the value of one more engine for a model: the mean of the current and the forecast demand beyond the capacity of its holders, in requests. */
const computeEngineValue = (input: PlanContext, model: string): number => {
	const overload = (rate: number): number => rate * Math.max(0, 1 - (targetUtilization / input.utilization.utilizationOfHolders(model, rate)));
	return (overload(input.rateOf(model)) + overload(input.expectedRateOf(model))) / 2 * demandHorizonS;
};

/** Returns the utilization of a model's engines at a rate, weighted higher when no engine holds or loads the model. */
const computeWeightedUtilization = ({utilization}: PlanContext, model: string, rate: number): number =>
	utilization.utilizationOfHolders(model, rate * (utilization.countHolders(model) === 0 ? absentFactor : 1));

/**
 * Whether an option evicts no last resident copy. At start, engines hold the models they served before, which is evidence of
 * demand; the rates assumed before the first request are not. Evictions on full engines for assumed demand would leave most
 * models without a copy before the first request, so that the first requests for them wait for loads.
 */
const keepsLastCopy = ({utilization}: PlanContext, {evict}: LoadOption): boolean => evict === undefined || utilization.countResident(evict) > 1;

/** Proposes loads that give a model with high demand one more engine. */
const proposeForDemand = (input: PlanContext): Proposal[] => {
	const mayUseStore = input.pending.length === 0 || countStoreLoads(input.engines) < Math.max(1, Math.floor(input.engines.length * maxTotalStoreShare));
	return input.spec.models
		.map(({name}) => ({name, weightedUtilization: computeWeightedUtilization(input, name, input.expectedRateOf(name))}))
		.filter(({weightedUtilization}) => weightedUtilization > targetUtilization)
		.map(({name, weightedUtilization}) => {
			const holders = input.utilization.countHolders(name);
			const load = input.expectedRateOf(name) * (holders === 0 ? absentFactor : 1) / Math.max(1, holders);
			const value = computeEngineValue(input, name);
			const isObserved = computeWeightedUtilization(input, name, input.observedRateOf(name)) > targetUtilization;
			const mayUseStoreForModel = mayUseStore && weightedUtilization > targetUtilization * storeDemandFactor;
			return {
				value,
				listOptions: () => listLoadOptions(input, name, value / demandHorizonS).filter(option =>
					option.evictedValue * hysteresis < load && (isObserved || keepsLastCopy(input, option)) && (option.source !== WeightSource.Store || mayUseStoreForModel)),
			};
		});
};

/** Returns the next move: the cheapest option of the most valuable load that has one; undefined when there is none. */
export const planModelMove = (given: ModelPlanInput): ModelMove | undefined =>
	(given.byWork === undefined ? planMoveByRates(given) : planMoveByWork(given, given.byWork));

const planMoveByRates = (given: ModelPlanInput): ModelMove | undefined => {
	const input = createPlanContext(given);
	const option = findMapped(
		[...proposeForQueued(input), ...proposeForDemand(input)].toSorted((a, b) => b.value - a.value),
		proposal => findCheapest(proposal.listOptions()),
	);
	return option && toMove(option);
};
