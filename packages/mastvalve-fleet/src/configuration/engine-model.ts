/**
 * A model that the engines of a service may hold.
 */

/** Sizes in MB, times in ms. */
export type EngineModel = {
	name: string;
	size: number;
	/** Loading from the weight store. */
	storeLoadMs: number;
	/** Loading from the endpoint's own disk. */
	diskLoadMs: number;
	/** Loading from the endpoint's host memory. */
	memoryLoadMs: number;
	/** Adapters are named a1 to aN. */
	adapterCount: number;
	adapterSize: number;
};
