/**
 * Models and adapters declared in intents.
 */

/** A model as declared by an operator. */
export type Model = {
	/** Unique name that callers request. */
	name: string;
	/** Name of the model service whose endpoints may load it. */
	service: string;
	/** Accelerator memory used by the model, in the unit of `Endpoint.capacity`. */
	size: number;
	/** Adapters of the model; callers request them by name, like models. */
	adapters: Adapter[];
	/** Minimum number of endpoints that keep the model resident; 0 loads it on demand only. */
	minReplicas: number;
};

/** An adapter, loaded and unloaded together with its model. */
export type Adapter = {
	name: string;
	/** Accelerator memory used in addition to the model, in the same unit. */
	size: number;
};
