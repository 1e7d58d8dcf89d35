/**
 * Whether a model fits into an engine's memory: pure.
 */

import type {EngineModel} from '../configuration/engine-model.js';
import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineState} from './engine-state.js';
import {WeightSource} from './weight-source.js';

/** What is asked of a specification for every way to every load. */
type SpecIndex = {models: ReadonlyMap<string, EngineModel>; adapterReserve: number};

const specIndexes = new WeakMap<EngineSpec, SpecIndex>();

const getSpecIndex = (spec: EngineSpec): SpecIndex => {
	const facts = specIndexes.get(spec) ?? {
		models: new Map(spec.models.map(model => [model.name, model])),
		// Room that an engine keeps for adapters, MB: all its slots with the largest ones.
		adapterReserve: spec.adapterSlots * Math.max(0, ...spec.models.map(model => model.adapterSize)),
	};
	specIndexes.set(spec, facts);
	return facts;
};

/** What of an engine's state takes room. */
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

/** Memory that is left beside all that an engine holds or was ordered to load, MB; `without` is a model that gives way. */
export const computeFreeMemory = (spec: EngineSpec, engine: MemoryContents, without?: string): number => {
	const {models, adapterReserve} = getSpecIndex(spec);
	const remaining = without === undefined ? engine : {...engine, holds: engine.holds.filter(({name}) => name !== without)};
	return spec.weightCapacity - adapterReserve - computeUsedMemory(models, remaining);
};

const msPerSecond = 1000;

/** How long a load takes, s. */
export const getLoadSeconds = (spec: EngineSpec, model: string, source: WeightSource): number => {
	const known = getSpecIndex(spec).models.get(model);
	const times: Record<WeightSource, number> = {[WeightSource.Memory]: known?.memoryLoadMs ?? 0, [WeightSource.Disk]: known?.diskLoadMs ?? 0, [WeightSource.Store]: known?.storeLoadMs ?? 0};
	return times[source] / msPerSecond;
};

/** What a model's weights take, MB. */
export const getModelSize = (spec: EngineSpec, model: string): number => getSpecIndex(spec).models.get(model)?.size ?? Number.POSITIVE_INFINITY;

/** Whether a model fits beside all that an engine holds or was ordered to load. */
export const fitsInMemory = (spec: EngineSpec, engine: MemoryContents, model: string, without?: string): boolean => getModelSize(spec, model) <= computeFreeMemory(spec, engine, without);
