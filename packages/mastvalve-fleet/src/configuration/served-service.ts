/**
 * Services and the specification of their engines.
 */

import type {EngineModel} from './engine-model.js';

/** Capacity of the model engines of a service. */
export type EngineSpec = {
	/** Maximum number of requests in one batch. */
	slots: number;
	/** Capacity shared by running requests and cached prefixes, tokens. */
	tokenCapacity: number;
	/** Time that the link of an engine needs for one token of a kept prompt, ms; absent if engines can't copy prompts from each other. */
	copyMsPerToken?: number;
	/** Accelerator memory for weights and adapters, MB. */
	weightCapacity: number;
	adapterSlots: number;
	/** Loads per second that the weight store allows over all endpoints. */
	storeLoadsPerSecond: number;
	models: EngineModel[];
};

/** A service whose endpoints answer requests; one without model engines has no `engine`. */
export type ServedService = {
	name: string;
	healthPath: string;
	/** Maximum number of connections that one endpoint accepts from all callers together. */
	maxConnections: number;
	engine?: EngineSpec;
};
