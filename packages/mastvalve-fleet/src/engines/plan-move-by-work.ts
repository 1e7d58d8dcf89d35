/**
 * Decides which model an engine loads next by measured work, and which one it evicts. Pure functions.
 *
 * Answers services where loads are the dearest price: a load is begun only if it serves more requests before demand has moved
 * on than it and the eviction cost.
 */

import {findMapped, minBy} from 'mastvalve-utils';
import {
	computeLoadPrice, computeRareValue, countUsualEngines,
} from './copy-loss.js';
import {targetUtilization} from './target-utilization.js';
import {getLoadSeconds} from './engine-memory.js';
import {hasLaterPlace, listWorkOptions, type WorkOption} from './list-work-options.js';
import type {ModelMove} from './model-move.js';
import type {ModelPlanInput, PendingModel} from './model-plan-input.js';
import {once} from './once.js';
import {
	findRestoringOption, hasSpareStoreLoad, isRestored, mayLoadRestored,
} from './restore-copy.js';
import {findSource, WeightSource} from './weight-source.js';
import {createWorkPlan, type WorkPlan} from './work-plan.js';
import type {WorkOutlook} from './work-outlook.js';

/** Factor by which a load must gain more than its eviction costs, so that models don't evict each other repeatedly. */
const hysteresis = 1.5;
/** Share of a mixed model's requests that miss their objective while one engine serves both kinds. */
const mixedMissShare = 0.3;
/** Share of its time below which an engine's work for a model is no reason for another engine. */
const minOwnShare = 0.1;
/** Shares of all engines that load rare models at the same time, from anywhere and from the store. */
const maxRareLoadShare = 0.2;
const maxRareStoreLoadShare = 0.1;
/** Share of all places up to which rare models may take those of models that may return. */
const maxRarePlaceShare = 0.25;
const msPerSecond = 1000;

/** A load with the requests that it saves, if it takes `loadSeconds`. */
type Proposal = {
	gainOf: (loadSeconds: number) => number;
	/** Part of the price of a load that it has to gain. */
	priceShare: number;
	evictionFactor: number;
	listOptions: () => WorkOption[];
	/** Whether an option is taken even if it costs more than it gains. */
	isDue?: (option: WorkOption) => boolean;
	/** The same, for options that leave each model a copy while there is room for all. */
	isDueBesideAll?: boolean;
	/** Whether an option may take a last copy although all models have room; `beside` is the best one that doesn't, if there is any. */
	mayEvictLast: (option: WorkOption, beside: WorkOption | undefined) => boolean;
};

/** Returns the requests that a load serves before demand has moved on. */
const countServed = ({outlook}: WorkPlan, model: string, loadSeconds: number): number =>
	outlook.rateOf(model) * Math.max(0, outlook.remainingSecondsOf(model) - loadSeconds);

/**
 * Returns the share of a busy model's requests that one more engine of usual speed saves: little if the model has many engines,
 * however busy they are with other models.
 */
const computeSavedShare = ({work, outlook}: WorkPlan, model: string): number => {
	const holders = work.holdersOf(model).length;
	if (holders === 0) {
		return 1;
	}

	const share = work.shareOf(model);
	const used = work.meanUtilizationOf(model);
	const late = used > targetUtilization && share >= minOwnShare ? 1 - (targetUtilization / used) : 0;
	return Math.max(late * (1 - (work.shareOf(model, 1) / share)), holders === 1 && outlook.isMixed(model) ? mixedMissShare : 0);
};

/**
 * A busy model takes last copies only while no engine holds it, if it has no other place or is ready sooner so. One that has engines and
 * too much work for them doesn't: the evicted models would be asked for and loaded again, which takes more engines than it gains.
 */
const mayBusyEvictLast = ({work}: WorkPlan, model: string): Proposal['mayEvictLast'] => {
	const isAbsent = work.holdersOf(model).length === 0;
	return ({loadSeconds}, beside) => isAbsent && (beside === undefined || loadSeconds < beside.loadSeconds);
};

const proposeForBusy = (plan: WorkPlan): Proposal[] =>
	plan.spec.models
		.filter(({name}) => plan.outlook.isBusy(name))
		.map(({name}) => ({name, savedShare: computeSavedShare(plan, name)}))
		.filter(({savedShare}) => savedShare > 0)
		.map(({name, savedShare}) => ({
			gainOf: loadSeconds => savedShare * countServed(plan, name, loadSeconds),
			priceShare: 1,
			evictionFactor: hysteresis,
			listOptions: () => listWorkOptions(plan, name),
			mayEvictLast: mayBusyEvictLast(plan, name),
		}));

/** Whether rare models may begin another load; those from the store take longest. */
const mayLoadRare = (plan: WorkPlan, share: number, isCounted: (source: WeightSource) => boolean): boolean => {
	const {engines, isRare} = plan;
	const loading = engines
		.filter(engine => engine.loading !== undefined && isRare(engine.loading) && isCounted(findSource(engine, engine.loading)))
		.filter(engine => engine.loading !== undefined && !isRestored(plan, engine.loading));
	return loading.length < Math.max(1, Math.floor(engines.length * share));
};

const hasRarePlaces = ({engines, isRare}: WorkPlan): boolean => {
	const held = engines.flatMap(({holds}) => holds.map(({name}) => name));
	return held.filter(name => isRare(name)).length >= held.length * maxRarePlaceShare;
};

/** Lists the options for rare models: they take places of each other, and of models that may return only up to their share. */
const listRareOptions = (plan: WorkPlan, model: string): WorkOption[] => {
	const mayUseStore = hasSpareStoreLoad(plan)
		&& (isRestored(plan, model) || mayLoadRare(plan, maxRareStoreLoadShare, source => source === WeightSource.Store));
	const takesOnlyRare = hasRarePlaces(plan);
	return listWorkOptions(plan, model)
		.filter(({source}) => mayUseStore || source !== WeightSource.Store)
		.filter(({evict, evictsLast}) => evict === undefined
			|| (!evictsLast && plan.hasRoomForAll())
			|| (!plan.outlook.isBusy(evict) && (plan.isRare(evict) || !takesOnlyRare || isSpare(plan, evict))));
};

const isSpare = (plan: WorkPlan, model: string): boolean => plan.work.countResident(model) > countUsualEngines(plan, model);

/** Models that had their place are back once; others may follow each other without end, so they load on a part of the engines. */
const mayLoadAwaited = (plan: WorkPlan, model: string): boolean =>
	(isRestored(plan, model) ? mayLoadRestored(plan) : mayLoadRare(plan, maxRareLoadShare, () => true));

/** Requests that wait take last copies if there will be no other place, or if the load would end too late once begun after another one. */
const mayAwaitedEvictLast = (plan: WorkPlan, {model, remainingMs = Number.POSITIVE_INFINITY}: PendingModel): Proposal['mayEvictLast'] => {
	const pauseMs = getLoadSeconds(plan.spec, model, WeightSource.Store) * msPerSecond;
	const hasNoPlace = once(() => !hasLaterPlace(plan, model));
	const isPressing = (neededMs: number): boolean => neededMs < remainingMs && remainingMs <= neededMs + pauseMs;
	return ({loadSeconds}, beside) => beside === undefined && (isPressing(loadSeconds * msPerSecond) || hasNoPlace());
};

/** Proposes loads for requests that wait for a model that isn't busy and that no engine holds. A few at a time. */
const proposeForWaiting = (plan: WorkPlan): Proposal[] => plan.pending
	.filter(({model}) => !plan.outlook.isBusy(model) && plan.work.holdersOf(model).length === 0 && mayLoadAwaited(plan, model))
	.map(pending => {
		const {model, waiting, remainingMs = Number.POSITIVE_INFINITY} = pending;
		const later = plan.isRare(model) ? computeRareValue(plan, model) : computeLoadPrice(plan.reloadSecondsOf(model));
		return {
			gainOf: loadSeconds => later + (loadSeconds * msPerSecond < remainingMs ? waiting : 0),
			priceShare: 0,
			evictionFactor: 1,
			listOptions: () => listRareOptions(plan, model),
			// A model that nobody waits for gives way however often it is asked for; otherwise the rarest models would never be served.
			isDue: ({loadSeconds, evict}) => loadSeconds * msPerSecond < remainingMs && (evict === undefined || plan.isRare(evict)),
			isDueBesideAll: true,
			mayEvictLast: mayAwaitedEvictLast(plan, pending),
		};
	});

/** Proposes to load models that may return and that no engine holds, from weights that are near. One at a time. */
const proposeForReturning = (plan: WorkPlan): Proposal[] => {
	const isLoading = plan.engines.some(({loading}) => loading !== undefined);
	return plan.spec.models
		.filter(({name}) => !isLoading && plan.pending.length === 0 && plan.outlook.returnProbability(name) > 0 && plan.work.holdersOf(name).length === 0)
		.map(({name}) => {
			const gain = plan.outlook.returnProbability(name) * (computeLoadPrice(plan.reloadSecondsOf(name)) + (plan.outlook.usualRateOf(name) * plan.reloadSecondsOf(name)));
			return {
				gainOf: () => gain, priceShare: 1, evictionFactor: hysteresis, listOptions: () => listWorkOptions(plan, name), mayEvictLast: () => false,
			};
		});
};

/** Returns the option that saves the most requests; undefined if none saves any. */
const findWorthwhile = ({gainOf, priceShare, evictionFactor, isDue = () => false}: Proposal, options: readonly WorkOption[]): WorkOption | undefined => {
	const netOf = ({loadSeconds, evictedLoss}: WorkOption, share: number): number => gainOf(loadSeconds) - (share * computeLoadPrice(loadSeconds)) - (evictionFactor * evictedLoss);
	const best = minBy(options, option => option.placePerSecond + option.loadSeconds - netOf(option, 1));
	return best && (isDue(best) || netOf(best, priceShare) > 0) ? best : undefined;
};

/** Returns the best option; while there is room for all models, one that takes no last copy goes before all others. */
const findBest = (plan: WorkPlan, proposal: Proposal): WorkOption | undefined => {
	const options = proposal.listOptions();
	if (options.length === 0 || !plan.hasRoomForAll()) {
		return findWorthwhile(proposal, options);
	}

	const {isDueBesideAll, isDue, mayEvictLast} = proposal;
	const beside = findWorthwhile({...proposal, isDue: isDueBesideAll ? () => true : isDue}, options.filter(({evictsLast}) => !evictsLast));
	const others = options.filter(option => option.evictsLast && mayEvictLast(option, beside));
	return findWorthwhile(proposal, beside ? [beside, ...others] : others) ?? beside;
};

/** Returns the next move: the best option of the most valuable load that has one; undefined when there is none. */
export const planMoveByWork = (input: ModelPlanInput, outlook: WorkOutlook): ModelMove | undefined => {
	const plan = createWorkPlan(input, outlook);
	const proposals = [...proposeForBusy(plan), ...proposeForWaiting(plan), ...proposeForReturning(plan)];
	const option = findMapped(proposals.toSorted((a, b) => b.gainOf(0) - a.gainOf(0)), proposal => findBest(plan, proposal)) ?? findRestoringOption(plan);
	return option && {
		engine: option.engine, load: option.load, evict: option.evict, source: option.source,
	};
};
