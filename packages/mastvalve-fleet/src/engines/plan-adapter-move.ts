/**
 * Which engine loads an adapter that requests wait for, and which adapter gives way: pure.
 */

import {findMapped} from 'mastvalve-utils';
import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineState} from './engine-state.js';

/** A change of adapters at one engine. */
export type AdapterMove = {
	engine: string;
	model: string;
	load: string;
	evict: {model: string; adapter: string} | undefined;
};

/** What the choice rests on. */
export type AdapterPlanInput = {
	spec: EngineSpec;
	engines: readonly EngineState[];
	model: string;
	adapter: string;
	/** Time since an adapter was last asked for, as `model/adapter`, ms. */
	idleMsOf: (name: string) => number;
};

/** What prefetching rests on. */
export type AdapterPrefetchInput = {
	spec: EngineSpec;
	engines: readonly EngineState[];
	/** Requests a second that may come soon. */
	expectedRateOf: (model: string) => number;
};

/** Adapters that may be on their way to one engine. */
const maxPendingLoads = 4;

const countAdapters = (engine: EngineState): number =>
	engine.loadingAdapters.length + engine.holds.reduce((sum, {adapters}) => sum + adapters.length, 0);

const findIdlest = (engine: EngineState, idleOf: (name: string) => number): {model: string; adapter: string; idleMs: number} | undefined =>
	engine.holds
		.flatMap(({name, adapters}) => adapters.map(adapter => ({model: name, adapter, idleMs: idleOf(`${name}/${adapter}`)})))
		.toSorted((a, b) => b.idleMs - a.idleMs)[0];

/** The move, or undefined when no engine can take the adapter now, or one has it already. */
export const planAdapterMove = ({spec, engines, model, adapter, idleMsOf: idleOf}: AdapterPlanInput): AdapterMove | undefined => {
	const holders = engines.filter(engine => engine.holds.some(({name}) => name === model) && engine.retiring !== model);
	// An engine takes no order while it loads or unloads a model.
	const free = holders.filter(engine => engine.isReady && engine.loading === undefined && engine.retiring === undefined);
	const isThere = holders.some(engine =>
		engine.loadingAdapters.includes(`${model}/${adapter}`) || engine.holds.some(({name, adapters}) => name === model && adapters.includes(adapter)));
	if (isThere) {
		return undefined;
	}

	const takers = free
		.filter(engine => engine.loadingAdapters.length < maxPendingLoads)
		.map(engine => {
			const isFull = countAdapters(engine) >= spec.adapterSlots || engine.hasUnresolvedOrder;
			const idlest = isFull ? findIdlest(engine, idleOf) : undefined;
			return {
				engine, idlest, isFull, order: isFull ? 1_000_000 - (idlest?.idleMs ?? 0) : countAdapters(engine),
			};
		})
		.filter(({isFull, idlest}) => !isFull || idlest !== undefined)
		.toSorted((a, b) => a.order - b.order);
	const chosen = takers[0];
	return chosen && {
		engine: chosen.engine.id, model, load: adapter, evict: chosen.idlest && {model: chosen.idlest.model, adapter: chosen.idlest.adapter},
	};
};

/** Names of a model's adapters; they are numbered from 1. */
const listAdapters = (count: number): string[] => Array.from({length: count}, (_, index) => `a${index + 1}`);

/** All adapters that some engine holds or is about to, as `model/adapter`. */
const listPlaced = (engines: readonly EngineState[]): Set<string> =>
	new Set(engines.flatMap(({holds, loadingAdapters}) => [...loadingAdapters, ...holds.flatMap(({name, adapters}) => adapters.map(adapter => `${name}/${adapter}`))]));

/** An adapter to load into a free slot before anybody waits for it: of the most expected model first. Nothing gives way. */
export const planAdapterPrefetch = ({spec, engines, expectedRateOf}: AdapterPrefetchInput): AdapterMove | undefined => {
	const takers = engines.filter(engine =>
		engine.isReady && !engine.hasUnresolvedOrder && engine.loading === undefined && engine.retiring === undefined && engine.loadingAdapters.length < maxPendingLoads && countAdapters(engine) < spec.adapterSlots);
	const placed = listPlaced(engines);
	const models = spec.models
		.filter(({name, adapterCount}) => adapterCount > 0 && expectedRateOf(name) > 0)
		.toSorted((a, b) => expectedRateOf(b.name) - expectedRateOf(a.name));
	return findMapped(models, ({name, adapterCount}) => {
		const [emptiest] = takers.filter(engine => engine.holds.some(held => held.name === name)).toSorted((a, b) => countAdapters(a) - countAdapters(b));
		const missing = emptiest && listAdapters(adapterCount).find(adapter => !placed.has(`${name}/${adapter}`));
		return emptiest === undefined || missing === undefined
			? undefined
			: {
				engine: emptiest.id, model: name, load: missing, evict: undefined,
			};
	});
};
