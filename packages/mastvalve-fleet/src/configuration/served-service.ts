/**
 * A service whose endpoints answer requests.
 */

import type {EngineModel} from './engine-model.js';

/** What model engines of a service can do. */
export type EngineSpec = {
	/** Requests in one batch. */
	slots: number;
	/** Tokens that running requests and cached prefixes share. */
	tokenCapacity: number;
	/** Accelerator memory for weights and adapters, MB. */
	weightCapacity: number;
	adapterSlots: number;
	/** Loads a second that the weight store allows, over all endpoints. */
	storeLoadsPerSecond: number;
	models: EngineModel[];
};

/** One service; a plain one has no engine. */
export type ServedService = {
	name: string;
	healthPath: string;
	/** Connections that one endpoint accepts from all callers together. */
	maxConnections: number;
	engine?: EngineSpec;
};
