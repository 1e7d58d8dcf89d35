/**
 * Tracks the memory of one engine: the models and adapters that are or may be resident.
 *
 * An item is removed only on evidence, never by intent or time-out: a heartbeat, an engine status requested after the last
 * order, or the engine's answer that an unload completed. A load may be ordered only if it fits beside everything that is or
 * may be resident. Holds state only: no clock, no sockets.
 */

import type {EngineSpec} from '../configuration/served-service.js';
import type {HeldModel} from '../state/fleet-endpoint.js';
import {EngineOrderKind, type EngineOrder} from './engine-order.js';
import {fitsInMemory} from './engine-memory.js';

/** An adapter of a model. */
export type AdapterName = {model: string; adapter: string};

/** Formats an adapter as `model/adapter`. */
export const formatAdapter = ({model, adapter}: AdapterName): string => `${model}/${adapter}`;

export class EngineLedger {
	/** Adapters that are or may be resident, by model; for other models the record applies. */
	private readonly adapters = new Map<string, Set<string>>();
	/** Adapters with a planned load, each with the adapter to evict. */
	private readonly plannedLoads = new Map<string, AdapterName | undefined>();
	/** Models whose load was ordered and not yet reported as complete by a heartbeat. */
	private readonly orderedLoads = new Set<string>();
	/** Models whose unload the engine or a heartbeat confirmed while the record still lists them. */
	private readonly confirmedUnloads = new Set<string>();

	/** Adapters with a planned or ordered load, as `model/adapter`. */
	get pendingAdapters(): string[] {
		return [...this.plannedLoads.keys()];
	}

	/** Adapters by model, for the models whose state here is newer than the record. */
	get knownAdapters(): Record<string, string[]> {
		return Object.fromEntries([...this.adapters].map(([model, adapters]) => [model, [...adapters]]));
	}

	/** Returns the held models for planning, without adapters to be evicted, whose slots are already reserved. */
	listHeldModels(recorded: readonly HeldModel[]): HeldModel[] {
		const evicted = new Set([...this.plannedLoads.values()].flatMap(name => (name ? [formatAdapter(name)] : [])));
		return recorded.map(held => ({
			name: held.name, adapters: this.adaptersOf(held).filter(adapter => !evicted.has(formatAdapter({model: held.name, adapter}))),
		}));
	}

	/** Records a planned load, with the adapter to evict for it, if any. Neither has been ordered yet. */
	beginLoad(adapter: AdapterName, evict: AdapterName | undefined): void {
		this.plannedLoads.set(formatAdapter(adapter), evict);
	}

	/** Ends a planned load, whatever its outcome. An adapter that was to be evicted and was not unloaded still counts. */
	endLoad(adapter: AdapterName): void {
		this.plannedLoads.delete(formatAdapter(adapter));
	}

	/** Whether an order fits beside everything that is or may be resident. Unloads always fit. */
	mayOrder(order: EngineOrder, recorded: readonly HeldModel[], spec: EngineSpec): boolean {
		if (order.kind === EngineOrderKind.Unload) {
			return true;
		}

		const possible = this.listPossiblyResident(recorded);
		if (order.adapter !== undefined) {
			return possible.reduce((sum, {adapters}) => sum + adapters.length, 0) < spec.adapterSlots;
		}

		return possible.some(({name}) => name === order.model) || fitsInMemory(spec, {holds: possible, loading: undefined, loadingAdapters: []}, order.model);
	}

	/** Records an order before it is sent, since it may be executed from then on. */
	recordSent({kind, model, adapter}: EngineOrder, recorded: readonly HeldModel[]): void {
		if (kind === EngineOrderKind.Unload) {
			return;
		}

		if (adapter !== undefined) {
			this.trackAdapters(model, recorded).add(adapter);
			return;
		}

		const isResident = !this.confirmedUnloads.has(model) && recorded.some(({name}) => name === model);
		if (!isResident) {
			// A newly loaded model has no adapters, whatever the record lists.
			this.adapters.set(model, new Set());
		}

		this.orderedLoads.add(model);
		this.confirmedUnloads.delete(model);
	}

	/** Records that the engine refused an order of which no other copy is in flight. */
	recordRefusal({kind, model, adapter}: EngineOrder): void {
		if (kind === EngineOrderKind.Load && adapter === undefined) {
			this.orderedLoads.delete(model);
		} else if (kind === EngineOrderKind.Load && adapter !== undefined) {
			this.adapters.get(model)?.delete(adapter);
		}
	}

	/** Records the engine's answer that an adapter was unloaded. */
	recordAdapterUnloaded({model, adapter}: AdapterName, recorded: readonly HeldModel[]): void {
		this.trackAdapters(model, recorded).delete(adapter);
	}

	/** Records that a heartbeat reported a load as complete. */
	recordLoaded(model: string): void {
		this.orderedLoads.delete(model);
	}

	/** Records that a heartbeat or the engine's status reported a model as unloaded, with all its adapters. */
	recordUnloaded(model: string): void {
		this.adapters.delete(model);
		this.confirmedUnloads.add(model);
	}

	/** Replaces the tracked state once the engine's status, newer than the last order, agrees with the record. */
	reconcile(holds: readonly HeldModel[]): void {
		this.orderedLoads.clear();
		this.confirmedUnloads.clear();
		this.adapters.clear();
		holds.forEach(({name, adapters}) => {
			this.adapters.set(name, new Set(adapters));
		});
	}

	/** Returns all models and adapters that may be resident: the worst case. */
	private listPossiblyResident(recorded: readonly HeldModel[]): HeldModel[] {
		const recordedModels = recorded.filter(({name}) => !this.confirmedUnloads.has(name));
		const orderedOnly = [...this.orderedLoads].filter(model => !recordedModels.some(({name}) => name === model));
		return [...recordedModels, ...orderedOnly.map((name): HeldModel => ({name, adapters: []}))].map(held => ({name: held.name, adapters: this.adaptersOf(held)}));
	}

	private adaptersOf({name, adapters}: HeldModel): string[] {
		return [...(this.adapters.get(name) ?? adapters)];
	}

	private trackAdapters(model: string, recorded: readonly HeldModel[]): Set<string> {
		const known = this.adapters.get(model) ?? new Set(recorded.find(({name}) => name === model)?.adapters);
		this.adapters.set(model, known);
		return known;
	}
}
