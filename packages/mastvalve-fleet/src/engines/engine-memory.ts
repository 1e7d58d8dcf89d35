/**
 * Computes whether a model fits into an engine's memory, and how long a load takes. Pure functions.
 */

import type {EngineModel} from '../configuration/engine-model.js';
import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineState} from './engine-state.js';
import {WeightSource} from './weight-source.js';

/** Derived data of a specification, cached because each load option of each load needs it. */
type SpecIndex = {models: ReadonlyMap<string, EngineModel>; adapterReserve: number};

const specIndexes = new WeakMap<EngineSpec, SpecIndex>();

const getSpecIndex = (spec: EngineSpec): SpecIndex => {
	const index = specIndexes.get(spec) ?? {
		models: new Map(spec.models.map(model => [model.name, model])),
		// Memory reserved for adapters, MB: all slots filled with the largest adapter.
		adapterReserve: spec.adapterSlots * Math.max(0, ...spec.models.map(model => model.adapterSize)),
	};
	specIndexes.set(spec, index);
	return index;
};

/** The part of an engine's state that occupies memory. */
export type MemoryContents = Pick<EngineState, 'holds' | 'loading' | 'loadingAdapters'>;

const computeUsedMemory = (models: ReadonlyMap<string, EngineModel>, engine: MemoryContents): number => {
	const held = engine.holds.reduce((sum, {name, adapters}) => {
		const model = models.get(name);
		return sum + (model?.size ?? 0) + (adapters.length * (model?.adapterSize ?? 0));
	}, 0);
	const loading = engine.loading === undefined || engine.holds.some(({name}) => name === engine.loading) ? 0 : models.get(engine.loading)?.size ?? 0;
	const adapters = engine.loadingAdapters.reduce((sum, name) => sum + (models.get(name.split('/', 1)[0] ?? '')?.adapterSize ?? 0), 0);
	return held + loading + adapters;
};

/** Returns the memory left beside all that an engine holds or was ordered to load, MB, as if `without` were evicted. */
export const computeFreeMemory = (spec: EngineSpec, engine: MemoryContents, without?: string): number => {
	const {models, adapterReserve} = getSpecIndex(spec);
	const remaining = without === undefined ? engine : {...engine, holds: engine.holds.filter(({name}) => name !== without)};
	return spec.weightCapacity - adapterReserve - computeUsedMemory(models, remaining);
};

const msPerSecond = 1000;

/** Returns the duration of a load, s; 0 for an unknown model. */
export const getLoadSeconds = (spec: EngineSpec, model: string, source: WeightSource): number => {
	const known = getSpecIndex(spec).models.get(model);
	const times: Record<WeightSource, number> = {[WeightSource.Memory]: known?.memoryLoadMs ?? 0, [WeightSource.Disk]: known?.diskLoadMs ?? 0, [WeightSource.Store]: known?.storeLoadMs ?? 0};
	return times[source] / msPerSecond;
};

/** Returns the size of a model's weights, MB; infinite for an unknown model. */
export const getModelSize = (spec: EngineSpec, model: string): number => getSpecIndex(spec).models.get(model)?.size ?? Number.POSITIVE_INFINITY;

/** Whether a model fits beside all that an engine holds or was ordered to load, as if `without` were evicted. */
export const fitsInMemory = (spec: EngineSpec, engine: MemoryContents, model: string, without?: string): boolean => getModelSize(spec, model) <= computeFreeMemory(spec, engine, without);
