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
import {fits} from './engine-room.js';

/** An adapter of a model. */
export type AdapterName = {model: string; adapter: string};

/** An adapter as `model/adapter`. */
export const formatAdapter = ({model, adapter}: AdapterName): string => `${model}/${adapter}`;

/** The account. */
export class EngineLedger {
	/** Adapters that are in place or may be, by model; models that are missing here are as recorded. */
	private readonly adapters = new Map<string, Set<string>>();
	/** Adapters that are about to be loaded, each with the one that gives way. */
	private readonly coming = new Map<string, AdapterName | undefined>();
	/** Models whose load was ordered, and of whose end no heartbeat has told. */
	private readonly ordered = new Set<string>();
	/** Models that the engine itself has told to be gone, while the record still has them. */
	private readonly toldGone = new Set<string>();

	/** Adapters on their way or about to be, as `model/adapter`. */
	get comingAdapters(): string[] {
		return [...this.coming.keys()];
	}

	/** Adapters by model, of the models that are known better here than in the record. */
	get knownAdapters(): Record<string, string[]> {
		return Object.fromEntries([...this.adapters].map(([model, adapters]) => [model, [...adapters]]));
	}

	/** What the engine holds for those who plan: without adapters that are about to give way, whose slots are promised. */
	describe(recorded: readonly HeldModel[]): HeldModel[] {
		const leaving = new Set([...this.coming.values()].flatMap(name => (name ? [formatAdapter(name)] : [])));
		return recorded.map(held => ({
			name: held.name, adapters: this.adaptersOf(held).filter(adapter => !leaving.has(formatAdapter({model: held.name, adapter}))),
		}));
	}

	/** An adapter is to be loaded, perhaps in the place of another one. Neither has happened yet. */
	plan(adapter: AdapterName, evicted: AdapterName | undefined): void {
		this.coming.set(formatAdapter(adapter), evicted);
	}

	/** A plan has ended, whatever came of it. What was to give way and was not unloaded still counts. */
	endPlan(adapter: AdapterName): void {
		this.coming.delete(formatAdapter(adapter));
	}

	/** Whether an order fits beside all that is or may be there. Unloads always do. */
	mayOrder(order: EngineOrder, recorded: readonly HeldModel[], spec: EngineSpec): boolean {
		if (order.kind === EngineOrderKind.Unload) {
			return true;
		}

		const possible = this.listPossible(recorded);
		if (order.adapter !== undefined) {
			return possible.reduce((sum, {adapters}) => sum + adapters.length, 0) < spec.adapterSlots;
		}

		return possible.some(({name}) => name === order.model) || fits(spec, {holds: possible, loading: undefined, loadingAdapters: []}, order.model);
	}

	/** An order is about to be sent. From now on it may be carried out. */
	noteSent({kind, model, adapter}: EngineOrder, recorded: readonly HeldModel[]): void {
		if (kind === EngineOrderKind.Unload) {
			return;
		}

		if (adapter !== undefined) {
			this.setAdapters(model, recorded).add(adapter);
			return;
		}

		const isThere = !this.toldGone.has(model) && recorded.some(({name}) => name === model);
		if (!isThere) {
			// What is loaded anew has no adapters, whatever the record still says.
			this.adapters.set(model, new Set());
		}

		this.ordered.add(model);
		this.toldGone.delete(model);
	}

	/** The engine has refused an order of which no other copy is under way. */
	noteRefused({kind, model, adapter}: EngineOrder): void {
		if (kind === EngineOrderKind.Load && adapter === undefined) {
			this.ordered.delete(model);
		} else if (kind === EngineOrderKind.Load && adapter !== undefined) {
			this.adapters.get(model)?.delete(adapter);
		}
	}

	/** The engine has answered that an adapter is unloaded. */
	noteUnloaded({model, adapter}: AdapterName, recorded: readonly HeldModel[]): void {
		this.setAdapters(model, recorded).delete(adapter);
	}

	/** A heartbeat has told of the end of a load. */
	noteLoaded(model: string): void {
		this.ordered.delete(model);
	}

	/** A model is gone: a heartbeat has told it, or the engine when it was asked. Its adapters went with it. */
	noteGone(model: string): void {
		this.adapters.delete(model);
		this.toldGone.add(model);
	}

	/** The engine's own status, newer than the last order, and the record say the same: this is all there is. */
	settle(holds: readonly HeldModel[]): void {
		this.ordered.clear();
		this.toldGone.clear();
		this.adapters.clear();
		holds.forEach(({name, adapters}) => {
			this.adapters.set(name, new Set(adapters));
		});
	}

	/** The worst case. */
	private listPossible(recorded: readonly HeldModel[]): HeldModel[] {
		const there = recorded.filter(({name}) => !this.toldGone.has(name));
		const more = [...this.ordered].filter(model => !there.some(({name}) => name === model));
		return [...there, ...more.map((name): HeldModel => ({name, adapters: []}))].map(held => ({name: held.name, adapters: this.adaptersOf(held)}));
	}

	private adaptersOf({name, adapters}: HeldModel): string[] {
		return [...(this.adapters.get(name) ?? adapters)];
	}

	private setAdapters(model: string, recorded: readonly HeldModel[]): Set<string> {
		const known = this.adapters.get(model) ?? new Set(recorded.find(({name}) => name === model)?.adapters);
		this.adapters.set(model, known);
		return known;
	}
}
