/**
 * What a plan of models rests on: engines, demand, and what the store allows now.
 */

import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineUtilizationInput} from './engine-utilization.js';

/** A model that requests wait for, and how many do. */
export type PendingModel = {model: string; waiting: number};

/** What the plan rests on. */
export type ModelPlanInput = EngineUtilizationInput & {
	spec: EngineSpec;
	/** Models that requests wait for. */
	pending: readonly PendingModel[];
	/** Requests a second that may come soon: those of now, or a part of those of the models declared before it. */
	expectedRateOf: (model: string) => number;
	/** The part of that which follows from requests that were made; the rest is only supposed before the first one. */
	observedRateOf: (model: string) => number;
	/** Time since a model was last asked for, ms. */
	idleMsOf: (model: string) => number;
	/** Time since a model was last asked for by a caller without time for a load, ms. */
	urgentIdleMsOf: (model: string) => number;
	/** How long an engine has held a model, ms. */
	residencyMsOf: (engine: string, model: string) => number;
	/** Loads from the store that may begin now. */
	availableStoreLoads: number;
};
