/**
 * Whether engines have room for a copy of each declared model beside the copies that busy ones need. Pure functions.
 *
 * Sizes are packed, since their sum would count gaps that no model fits into.
 */

import {targetUtilization} from './target-utilization.js';
import {computeFreeMemory} from './engine-memory.js';
import type {ModelPlanInput} from './model-plan-input.js';
import type {WorkOutlook} from './work-outlook.js';

type Demand = Pick<ModelPlanInput, 'engines' | 'spec'> & {outlook: WorkOutlook};
type Item = {model: string; size: number};
type Bin = {freeMb: number; models: Set<string>};

const empty = {holds: [], loading: undefined, loadingAdapters: []};

/** Returns how many engines a model needs now: one at least, two if long prompts and chats are kept apart. */
export const countNeededEngines = ({engines, outlook}: Demand, model: string): number => {
	const meanSpeed = engines.reduce((sum, {id}) => sum + outlook.speedOf(id), 0) / Math.max(1, engines.length);
	const byWork = Math.ceil(outlook.workOf(model) / (targetUtilization * meanSpeed));
	return outlook.isBusy(model) ? Math.min(engines.length, Math.max(outlook.isMixed(model) ? 2 : 1, byWork)) : 1;
};

/** Puts a copy into the first engine with room that has none of the model yet; returns whether there was one. */
const pack = (bins: readonly Bin[], {model, size}: Item): boolean => {
	const bin = bins.find(({freeMb, models}) => size <= freeMb && !models.has(model));
	if (bin) {
		bin.freeMb -= size;
		bin.models.add(model);
	}

	return bin !== undefined;
};

export const hasRoomForAll = (demand: Demand): boolean => {
	const {engines, spec} = demand;
	const freeMb = computeFreeMemory(spec, empty);
	const bins = engines.map((): Bin => ({freeMb, models: new Set()}));
	return spec.models
		.flatMap(({name, size}) => Array.from({length: countNeededEngines(demand, name)}, (): Item => ({model: name, size})))
		.toSorted((a, b) => b.size - a.size)
		.every(item => pack(bins, item));
};
