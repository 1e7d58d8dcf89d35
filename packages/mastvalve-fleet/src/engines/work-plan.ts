/**
 * Data of one plan by work, computed once.
 */

import {EngineWork} from './engine-work.js';
import {getLoadSeconds} from './engine-memory.js';
import type {ModelPlanInput} from './model-plan-input.js';
import {once} from './once.js';
import {hasRoomForAll} from './room-for-all.js';
import {WeightSource} from './weight-source.js';
import type {WorkOutlook} from './work-outlook.js';

/** An engine's memory once a model is evicted, or as it is: what can be loaded there, and what the eviction costs in requests. */
export type Place = {
	evict: string | undefined;
	loss: number;
	freeMb: number;
	/** Whether the evicted copy is the last one of a declared model. */
	evictsLast: boolean;
};

export type WorkPlan = Omit<ModelPlanInput, 'byWork'> & {
	outlook: WorkOutlook;
	work: EngineWork;
	/** Whether requests wait for a model. */
	isAwaited: (model: string) => boolean;
	/** Models whose requests are rare and not expected to become many. */
	isRare: (model: string) => boolean;
	/** Duration of a later load, s: the mean of the nearest copy and the store, since the engine with the copy may be in use. */
	reloadSecondsOf: (model: string) => number;
	/** Duration of a load from the nearest copy, s. */
	nearestSecondsOf: (model: string) => number;
	/** Whether the engines have room for a copy of each declared model, so that none has to be without one. */
	hasRoomForAll: () => boolean;
	/** Places by engine, as far as they were asked for. */
	places: Map<string, Place[]>;
	/** Memory that each engine will have for one model without evicting a last copy, MB, as far as it was asked for. */
	laterMb: Map<string, number>;
};

const nearSources = [WeightSource.Memory, WeightSource.Disk];

/** Returns the models with copies of their weights near an engine, by source. */
const listNear = ({engines}: ModelPlanInput): Map<WeightSource, ReadonlySet<string>> => new Map([
	[WeightSource.Memory, new Set(engines.flatMap(({inMemory}) => inMemory))],
	[WeightSource.Disk, new Set(engines.flatMap(({onDisk}) => onDisk))],
]);

export const createWorkPlan = (input: ModelPlanInput, outlook: WorkOutlook): WorkPlan => {
	const awaited = new Set(input.pending.map(({model}) => model));
	const near = listNear(input);
	const nearestSecondsOf = (model: string): number =>
		getLoadSeconds(input.spec, model, nearSources.find(source => near.get(source)?.has(model)) ?? WeightSource.Store);
	return {
		...input,
		outlook,
		work: new EngineWork(input.engines, outlook),
		isAwaited: model => awaited.has(model),
		isRare: model => !outlook.isBusy(model) && outlook.returnProbability(model) === 0,
		reloadSecondsOf: model => (nearestSecondsOf(model) + getLoadSeconds(input.spec, model, WeightSource.Store)) / 2,
		nearestSecondsOf,
		hasRoomForAll: once(() => hasRoomForAll({...input, outlook})),
		places: new Map(),
		laterMb: new Map(),
	};
};
