/**
 * What it costs to evict one resident copy of a model, in requests. Pure functions.
 */

import type {EngineState} from './engine-state.js';
import {targetUtilization} from './target-utilization.js';
import type {WorkPlan} from './work-plan.js';

/** Price of a load, in requests: each takes a place, and blocks the orders of an engine while it lasts. */
const loadPrice = 3;
const loadPricePerSecond = 0.75;

/** Returns the price of a load that takes some seconds, in requests. */
export const computeLoadPrice = (seconds: number): number => loadPrice + (loadPricePerSecond * seconds);

/** A busy model gives up a copy only if its other engines work less than this, so that it doesn't need the copy again soon. */
const releaseUtilization = 0.25;
/** Work that other engines take over whatever else they do, as a share of their time. */
const negligibleShare = 0.03;
/** Time that requests for rare models usually have until their first byte, s. */
const patienceSeconds = 5;
/** Lowest probability that a model is asked for, so that a last copy is worth more than a second one. */
const minAsked = 0.05;
/** Price of a copy beyond those that a model needs when it returns, as a part of a load. */
const spareCopyShare = 0.1;

/** A busy model keeps its last copy, and copies whose work its other engines have no time for. */
const computeBusyLoss = (plan: WorkPlan, engine: EngineState, model: string): number => {
	const {work, outlook} = plan;
	const others = work.countResident(model) - 1;
	if (others < (outlook.isMixed(model) ? 2 : 1)) {
		return Number.POSITIVE_INFINITY;
	}

	const shareAfter = work.shareOf(model, -work.speedFor(engine, model));
	const more = shareAfter - work.shareOf(model);
	const isNeeded = more > negligibleShare && work.meanUtilizationOf(model) + more > releaseUtilization;
	return isNeeded ? Number.POSITIVE_INFINITY : computeLoadPrice(plan.reloadSecondsOf(model)) * shareAfter / targetUtilization;
};

/** Returns how many engines of usual speed a model needs when it is busy. */
export const countUsualEngines = ({outlook}: WorkPlan, model: string): number =>
	Math.max(1, Math.ceil(outlook.usualRateOf(model) * outlook.secondsPerRequest(model) / targetUtilization));

/** A model that may return keeps the copies that it will need, weighted by how likely it returns. */
const computeReturnLoss = (plan: WorkPlan, model: string): number => {
	const needed = countUsualEngines(plan, model);
	if (plan.work.countResident(model) > needed) {
		return computeLoadPrice(plan.reloadSecondsOf(model)) * spareCopyShare;
	}

	const missed = plan.outlook.usualRateOf(model) * plan.reloadSecondsOf(model) / needed;
	return plan.outlook.returnProbability(model) * (computeLoadPrice(plan.reloadSecondsOf(model)) + missed);
};

/** Returns the price of what a rare model will need when it is asked for again: a load, and the requests that are late after it. */
export const computeRareValue = (plan: WorkPlan, model: string): number => {
	const isAsked = Math.max(minAsked, 1 - Math.exp(-plan.outlook.longRateOf(model) * plan.outlook.horizonSeconds));
	return isAsked * (computeLoadPrice(plan.reloadSecondsOf(model)) + Math.min(1, plan.reloadSecondsOf(model) / patienceSeconds));
};

/** Returns the loss; infinite for a copy that must stay. */
export const computeCopyLoss = (plan: WorkPlan, engine: EngineState, model: string): number => {
	const isLast = plan.work.countResident(model) <= 1;
	if (isLast && plan.isAwaited(model)) {
		return Number.POSITIVE_INFINITY;
	}

	if (plan.outlook.isBusy(model)) {
		return computeBusyLoss(plan, engine, model);
	}

	if (!plan.isRare(model)) {
		return computeReturnLoss(plan, model);
	}

	return isLast ? computeRareValue(plan, model) : 0;
};
