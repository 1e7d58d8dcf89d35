/**
 * The account of one engine's room: which models and adapters are in it or may be.
 *
 * Nothing leaves the account by intent or by time, only by evidence: a heartbeat or the engine's own status that was asked
 * for after the last order, or the engine's answer that an unload is done. An order to load passes only if it fits beside
 * all that is or may be there. A plain piece of state: no clock, no sockets.
 */

import type {EngineSpec} from '../configuration/served-service.js';
import type {HeldModel} from '../state/fleet-endpoint.js';
import {EngineOrderKind, type EngineOrder} from './engine-order.js';
import {fitsInMemory} from './engine-memory.js';

/** An adapter of a model. */
export type AdapterName = {model: string; adapter: string};

/** An adapter as `model/adapter`. */
export const formatAdapter = ({model, adapter}: AdapterName): string => `${model}/${adapter}`;

/** The account. */
export class EngineLedger {
	/** Adapters that are in place or may be, by model; models that are missing here are as recorded. */
	private readonly adapters = new Map<string, Set<string>>();
	/** Adapters that are about to be loaded, each with the one that gives way. */
	private readonly plannedLoads = new Map<string, AdapterName | undefined>();
	/** Models whose load was ordered, and of whose end no heartbeat has told. */
	private readonly orderedLoads = new Set<string>();
	/** Models that the engine itself has told to be gone, while the record still has them. */
	private readonly confirmedUnloads = new Set<string>();

	/** Adapters on their way or about to be, as `model/adapter`. */
	get pendingAdapters(): string[] {
		return [...this.plannedLoads.keys()];
	}

	/** Adapters by model, of the models that are known better here than in the record. */
	get knownAdapters(): Record<string, string[]> {
		return Object.fromEntries([...this.adapters].map(([model, adapters]) => [model, [...adapters]]));
	}

	/** What the engine holds for those who plan: without adapters that are about to give way, whose slots are promised. */
	listHeldModels(recorded: readonly HeldModel[]): HeldModel[] {
		const leaving = new Set([...this.plannedLoads.values()].flatMap(name => (name ? [formatAdapter(name)] : [])));
		return recorded.map(held => ({
			name: held.name, adapters: this.adaptersOf(held).filter(adapter => !leaving.has(formatAdapter({model: held.name, adapter}))),
		}));
	}

	/** An adapter is to be loaded, perhaps in the place of another one. Neither has happened yet. */
	beginLoad(adapter: AdapterName, evicted: AdapterName | undefined): void {
		this.plannedLoads.set(formatAdapter(adapter), evicted);
	}

	/** A plan has ended, whatever came of it. What was to give way and was not unloaded still counts. */
	endLoad(adapter: AdapterName): void {
		this.plannedLoads.delete(formatAdapter(adapter));
	}

	/** Whether an order fits beside all that is or may be there. Unloads always do. */
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

	/** An order is about to be sent. From now on it may be carried out. */
	recordSent({kind, model, adapter}: EngineOrder, recorded: readonly HeldModel[]): void {
		if (kind === EngineOrderKind.Unload) {
			return;
		}

		if (adapter !== undefined) {
			this.trackAdapters(model, recorded).add(adapter);
			return;
		}

		const isThere = !this.confirmedUnloads.has(model) && recorded.some(({name}) => name === model);
		if (!isThere) {
			// What is loaded anew has no adapters, whatever the record still says.
			this.adapters.set(model, new Set());
		}

		this.orderedLoads.add(model);
		this.confirmedUnloads.delete(model);
	}

	/** The engine has refused an order of which no other copy is under way. */
	recordRefusal({kind, model, adapter}: EngineOrder): void {
		if (kind === EngineOrderKind.Load && adapter === undefined) {
			this.orderedLoads.delete(model);
		} else if (kind === EngineOrderKind.Load && adapter !== undefined) {
			this.adapters.get(model)?.delete(adapter);
		}
	}

	/** The engine has answered that an adapter is unloaded. */
	recordAdapterUnloaded({model, adapter}: AdapterName, recorded: readonly HeldModel[]): void {
		this.trackAdapters(model, recorded).delete(adapter);
	}

	/** A heartbeat has told of the end of a load. */
	recordLoaded(model: string): void {
		this.orderedLoads.delete(model);
	}

	/** A model is gone: a heartbeat has told it, or the engine when it was asked. Its adapters went with it. */
	recordUnloaded(model: string): void {
		this.adapters.delete(model);
		this.confirmedUnloads.add(model);
	}

	/** The engine's own status, newer than the last order, and the record say the same: this is all there is. */
	reconcile(holds: readonly HeldModel[]): void {
		this.orderedLoads.clear();
		this.confirmedUnloads.clear();
		this.adapters.clear();
		holds.forEach(({name, adapters}) => {
			this.adapters.set(name, new Set(adapters));
		});
	}

	/** The worst case. */
	private listPossiblyResident(recorded: readonly HeldModel[]): HeldModel[] {
		const there = recorded.filter(({name}) => !this.confirmedUnloads.has(name));
		const more = [...this.orderedLoads].filter(model => !there.some(({name}) => name === model));
		return [...there, ...more.map((name): HeldModel => ({name, adapters: []}))].map(held => ({name: held.name, adapters: this.adaptersOf(held)}));
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
