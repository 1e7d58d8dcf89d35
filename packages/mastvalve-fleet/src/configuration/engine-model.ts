/**
 * A model that engines of a service can load.
 */

/** Sizes in MB, times in ms. */
export type EngineModel = {
	name: string;
	size: number;
	/** Duration of a load from the weight store. */
	storeLoadMs: number;
	/** Duration of a load from the endpoint's own disk. */
	diskLoadMs: number;
	/** Duration of a load from the endpoint's host memory. */
	memoryLoadMs: number;
	/** Adapters are named a1 to aN. */
	adapterCount: number;
	adapterSize: number;
};
