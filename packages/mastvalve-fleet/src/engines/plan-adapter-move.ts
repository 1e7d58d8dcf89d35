/**
 * Decides which engine loads an adapter with queued requests, and which adapter it evicts. Pure functions.
 */

import {findMapped} from 'mastvalve-utils';
import type {EngineSpec} from '../configuration/served-service.js';
import type {EngineState} from './engine-state.js';

/** An adapter load on one engine, with its eviction. */
export type AdapterMove = {
	engine: string;
	model: string;
	load: string;
	evict: {model: string; adapter: string} | undefined;
};

/** Input of a move. */
export type AdapterPlanInput = {
	spec: EngineSpec;
	engines: readonly EngineState[];
	model: string;
	adapter: string;
	/** Time since the last request for an adapter, named as `model/adapter`, ms. */
	idleMsOf: (name: string) => number;
};

/** Input of a prefetch. */
export type AdapterPrefetchInput = {
	spec: EngineSpec;
	engines: readonly EngineState[];
	/** Forecast requests per second. */
	expectedRateOf: (model: string) => number;
};

/** Adapter loads that may be in flight on one engine. */
const maxPendingLoads = 4;

const countAdapters = (engine: EngineState): number =>
	engine.loadingAdapters.length + engine.holds.reduce((sum, {adapters}) => sum + adapters.length, 0);

const findIdlest = (engine: EngineState, idleOf: (name: string) => number): {model: string; adapter: string; idleMs: number} | undefined =>
	engine.holds
		.flatMap(({name, adapters}) => adapters.map(adapter => ({model: name, adapter, idleMs: idleOf(`${name}/${adapter}`)})))
		.toSorted((a, b) => b.idleMs - a.idleMs)[0];

/** Returns the move; undefined when no engine can load the adapter now, or one holds or loads it already. */
export const planAdapterMove = ({spec, engines, model, adapter, idleMsOf: idleOf}: AdapterPlanInput): AdapterMove | undefined => {
	const holders = engines.filter(engine => engine.holds.some(({name}) => name === model) && engine.retiring !== model);
	// An engine accepts no order while it loads or unloads a model.
	const free = holders.filter(engine => engine.isReady && engine.loading === undefined && engine.retiring === undefined);
	const isPlaced = holders.some(engine =>
		engine.loadingAdapters.includes(`${model}/${adapter}`) || engine.holds.some(({name, adapters}) => name === model && adapters.includes(adapter)));
	if (isPlaced) {
		return undefined;
	}

	const candidates = free
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
	const chosen = candidates[0];
	return chosen && {
		engine: chosen.engine.id, model, load: adapter, evict: chosen.idlest && {model: chosen.idlest.model, adapter: chosen.idlest.adapter},
	};
};

/** Returns the names of a model's adapters, numbered from 1. */
const listAdapters = (count: number): string[] => Array.from({length: count}, (_, index) => `a${index + 1}`);

/** Returns all adapters that an engine holds or loads, as `model/adapter`. */
const listPlaced = (engines: readonly EngineState[]): Set<string> =>
	new Set(engines.flatMap(({holds, loadingAdapters}) => [...loadingAdapters, ...holds.flatMap(({name, adapters}) => adapters.map(adapter => `${name}/${adapter}`))]));

/** Returns an adapter to load into a free slot before it is requested, of the model with the highest forecast rate first. Evicts nothing. */
export const planAdapterPrefetch = ({spec, engines, expectedRateOf}: AdapterPrefetchInput): AdapterMove | undefined => {
	const candidates = engines.filter(engine =>
		engine.isReady && !engine.hasUnresolvedOrder && engine.loading === undefined && engine.retiring === undefined
		&& engine.loadingAdapters.length < maxPendingLoads && countAdapters(engine) < spec.adapterSlots);
	const placed = listPlaced(engines);
	const models = spec.models
		.filter(({name, adapterCount}) => adapterCount > 0 && expectedRateOf(name) > 0)
		.toSorted((a, b) => expectedRateOf(b.name) - expectedRateOf(a.name));
	return findMapped(models, ({name, adapterCount}) => {
		const [emptiest] = candidates.filter(engine => engine.holds.some(held => held.name === name)).toSorted((a, b) => countAdapters(a) - countAdapters(b));
		const missing = emptiest && listAdapters(adapterCount).find(adapter => !placed.has(`${name}/${adapter}`));
		return emptiest === undefined || missing === undefined
			? undefined
			: {
				engine: emptiest.id, model: name, load: missing, evict: undefined,
			};
	});
};
