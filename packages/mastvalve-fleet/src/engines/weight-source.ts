/**
 * Where the weights of a load come from.
 */

/** Where the weights of a load come from. */
export enum WeightSource {
	Memory = 'memory',
	Disk = 'disk',
	Store = 'store',
}

/** Where an engine would take a model from. */
export const findSource = (engine: {inMemory: readonly string[]; onDisk: readonly string[]}, model: string): WeightSource => {
	if (engine.inMemory.includes(model)) {
		return WeightSource.Memory;
	}

	return engine.onDisk.includes(model) ? WeightSource.Disk : WeightSource.Store;
};
