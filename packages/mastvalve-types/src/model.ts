/**
 * A declared model with its adapters.
 */

/** A model as operators declare it in an intent. */
export type Model = {
	/** Unique name by which callers ask for it. */
	name: string;
	/** The model service whose endpoints may hold it. */
	service: string;
	/** Accelerator memory it takes, in the unit of the endpoints' capacity. */
	size: number;
	/** Adapters by name; callers ask for them as for models. */
	adapters: Adapter[];
	/** How many endpoints keep it resident at the least; 0 means loaded on demand. */
	minReplicas: number;
};

/** An adapter of a model; it is loaded and unloaded with its model. */
export type Adapter = {
	name: string;
	/** Accelerator memory it takes besides the model, same unit. */
	size: number;
};
