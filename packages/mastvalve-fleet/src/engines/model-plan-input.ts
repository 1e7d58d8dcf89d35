/**
 * Input of a model plan: engines, demand, and the loads that the store allows now.
 */

import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineUtilizationInput} from './engine-utilization.js';
import type {WorkOutlook} from './work-outlook.js';

/** A model with queued requests, their number, and the time until their earliest deadline; absent if it is not known. */
export type PendingModel = {model: string; waiting: number; remainingMs?: number};

export type ModelPlanInput = EngineUtilizationInput & {
	spec: EngineSpec;
	/** Models with queued requests. */
	pending: readonly PendingModel[];
	/** Forecast requests per second: the current rate, or a share of the rates of models declared earlier. */
	expectedRateOf: (model: string) => number;
	/** The part of the forecast that follows from recorded requests; the rest is assumed before the first request. */
	observedRateOf: (model: string) => number;
	/** Time since the last request for a model, ms. */
	idleMsOf: (model: string) => number;
	/** Time since the last request for a model whose deadline left no time for a load, ms. */
	urgentIdleMsOf: (model: string) => number;
	/** Time for which an engine has held a model, ms. */
	residencyMsOf: (engine: string, model: string) => number;
	/** Loads from the store that may start now. */
	availableStoreLoads: number;
	/** Demand and work of a service whose work is measured; without it, moves follow from rates. */
	byWork?: WorkOutlook | undefined;
};
