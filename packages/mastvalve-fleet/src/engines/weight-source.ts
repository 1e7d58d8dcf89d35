/**
 * Sources of model weights.
 */

/** Where a load reads the weights from. */
export enum WeightSource {
	Memory = 'memory',
	Disk = 'disk',
	Store = 'store',
}

/** Returns the fastest source from which an engine can load a model. */
export const findSource = (engine: {inMemory: readonly string[]; onDisk: readonly string[]}, model: string): WeightSource => {
	if (engine.inMemory.includes(model)) {
		return WeightSource.Memory;
	}

	return engine.onDisk.includes(model) ? WeightSource.Disk : WeightSource.Store;
};
