/**
 * Changes of one engine: which models and adapters it holds, as series of orders with the records before and behind them.
 * What was ordered keeps its memory until the engine's own state shows what came of it.
 */

import {
	EngineOrderKind, type EngineOrder, type EngineState, type ExpectedLoad, type FleetEndpoint, type HeldModel, type ModelMove, type AdapterMove, type Holdings,
} from 'mastvalve-fleet';
import type {EngineStatus} from './engine-port.js';
import {OrderEffect, OrderSequence, type OrderSequenceOptions} from './order-sequence.js';

/** What a desk is made from. */
export type EngineDeskOptions = OrderSequenceOptions & {
	/** Records what orders change; whether that was committed. Every order is preceded by a record. */
	publish: (holdings: Holdings) => Promise<boolean>;
};

/** Pause before a state that is not settled is read again, ms. */
const unsettledPauseMs = 400;
/** Entries stop sending requests for a model this long after it was published, ms: a commit, a round to followers, and reserve. */
const retireNoticeMs = 60;
/** What unloading adds to the time of a move when no run holds it up, ms. */
const unloadMs = 200;
/** How often the state is looked at while an order is under way, ms. */
const pollMs = 25;
/** An order under way that no heartbeat has confirmed is looked up this long after it was due, ms. */
const overdueMs = 1500;
/** Longest time for which a change of models is followed, ms. */
const maxMoveMs = 40_000;
/** Time in which an adapter arrives: a fixed part, and a part for each MB, with reserve: 12 MB in 5 ms and 66 MB in 14 ms were declared, ms. */
const adapterFixedMs = 5;
const adapterMsPerMb = 0.3;

/** Who has shown that an order is done. */
enum ChangeSeen {
	No = 'no',
	/** The engine, when it was asked; the record lacks it. */
	Told = 'told',
	/** A heartbeat, so it is on record. */
	Recorded = 'recorded',
}

/** One desk. */
export class EngineDesk {
	private readonly orders: OrderSequence;
	private readonly adapters = new Map<string, string[]>();
	private readonly loadingAdapters = new Set<string>();
	private readonly heldSince = new Map<string, number>();
	private loading: ExpectedLoad | undefined;
	private retiring: string | undefined;
	private queue: Promise<unknown> = Promise.resolve();
	private isSyncing = false;
	/** Whether this desk has recorded anything; before that, what is recorded is of a former holder. */
	private hasRecorded = false;
	/** Moves that were begun and have not ended. */
	private moves = 0;

	constructor(private readonly options: EngineDeskOptions) {
		this.orders = new OrderSequence(options);
	}

	/**
	 * Whether orders may be planned: the true state was read, no order of somebody else is under way, and the log says the
	 * same. Otherwise it is read again soon.
	 */
	get isReady(): boolean {
		if (!this.orders.isKnown && !this.isSyncing) {
			this.requestSync();
		}

		return this.orders.isKnown;
	}

	/** What placement needs to know. Until the true state was read, what a former holder has recorded counts as well. */
	describe(endpoint: FleetEndpoint): EngineState {
		const recorded = this.orders.isKnown ? undefined : endpoint;
		return {
			id: endpoint.id,
			failureDomain: endpoint.failureDomain,
			isReady: this.isReady,
			hasLateOrder: this.orders.hasLateOrder,
			holds: endpoint.holds.map(({name, adapters}): HeldModel => ({name, adapters: this.adapters.get(name) ?? adapters})),
			loading: (this.loading ?? recorded?.loading)?.model,
			retiring: this.retiring ?? recorded?.retiring,
			loadingAdapters: [...this.loadingAdapters],
			inMemory: endpoint.inMemory,
			onDisk: endpoint.onDisk,
		};
	}

	/** How long a model has been held, ms. */
	heldFor(model: string): number {
		return this.options.clock.now() - (this.heldSince.get(model) ?? Number.NEGATIVE_INFINITY);
	}

	/** Reads the true state soon, since something did not fit. */
	requestSync(): void {
		this.isSyncing = true;
		void this.enqueue(async () => this.sync());
	}

	/** Changes which model the engine holds. Resolves when that is done or has failed; `onBegun` tells when the load can't begin any later. */
	async moveModel(move: ModelMove, expectedMs: number, onBegun: () => void = () => undefined): Promise<void> {
		this.loading = {model: move.load, expectedMs: expectedMs + (move.evict === undefined ? 0 : unloadMs), source: move.source};
		this.retiring = move.evict;
		this.moves += 1;
		const isRecorded = await this.publish();
		const isReady = isRecorded && (move.evict === undefined || await this.unload(move.evict));
		this.retiring = undefined;
		const effect = isReady ? await this.order({kind: EngineOrderKind.Load, model: move.load, adapter: undefined}) : OrderEffect.None;
		onBegun();
		if (effect !== OrderEffect.None) {
			this.adapters.delete(move.load);
			const seen = await this.waitUntil(holds => holds.includes(move.load), expectedMs);
			const isThere = seen !== ChangeSeen.No;
			this.requireSync(seen);
			this.heldSince.set(move.load, this.options.clock.now());
			this.options.onEvent('engine.changed', `${this.options.id} ${isThere ? 'holds' : 'may not hold'} ${move.load} from ${move.source}`);
		}

		this.loading = undefined;
		this.moves -= 1;
		await this.publish();
	}

	/** Changes which adapters the engine holds. */
	async moveAdapter({model, load, evict}: AdapterMove, sizeMb: number): Promise<void> {
		const name = `${model}/${load}`;
		this.loadingAdapters.add(name);
		if (evict) {
			this.setAdapters(evict.model, this.adaptersOf(evict.model).filter(adapter => adapter !== evict.adapter));
		}

		this.moves += 1;
		const isRecorded = await this.publish();
		const isTaken = isRecorded && await this.enqueue(async () => {
			const hasRoom = !evict || await this.freeSlot(evict);
			return hasRoom && await this.orders.give({kind: EngineOrderKind.Load, model, adapter: load}) !== OrderEffect.None;
		});
		if (isTaken) {
			await this.options.wait(adapterFixedMs + (sizeMb * adapterMsPerMb));
			this.setAdapters(model, [...this.adaptersOf(model), load]);
		}

		this.loadingAdapters.delete(name);
		this.moves -= 1;
		await this.publish();
	}

	/** Unloads an adapter; false while requests still use it, so that its slot is not free yet. */
	private async freeSlot({model, adapter}: {model: string; adapter: string}): Promise<boolean> {
		const effect = await this.orders.give({kind: EngineOrderKind.Unload, model, adapter});
		if (effect === OrderEffect.UnderWay) {
			this.orders.forget();
		}

		return effect === OrderEffect.Done;
	}

	private async order(order: EngineOrder): Promise<OrderEffect> {
		return this.enqueue(async () => this.orders.give(order));
	}

	/**
	 * An order whose end was not seen may still be under way, and one whose end no heartbeat has told is missing in the
	 * record: its memory is not free until the engine and the record say the same.
	 */
	private requireSync(seen: ChangeSeen): void {
		if (seen !== ChangeSeen.Recorded) {
			this.orders.forget();
		}
	}

	private adaptersOf(model: string): string[] {
		return this.adapters.get(model) ?? this.options.readEndpoint()?.holds.find(({name}) => name === model)?.adapters ?? [];
	}

	private setAdapters(model: string, adapters: string[]): void {
		this.adapters.set(model, [...new Set(adapters)]);
	}

	private async publish(): Promise<boolean> {
		this.hasRecorded = true;
		return this.options.publish({
			id: this.options.id, adapters: Object.fromEntries(this.adapters), retiring: this.retiring, loading: this.loading, isOrdering: this.moves > 0 || this.orders.hasLateOrder,
		});
	}

	/** Unloads a model once entries have stopped sending requests for it. */
	private async unload(model: string): Promise<boolean> {
		await this.options.wait(retireNoticeMs);
		const effect = await this.order({kind: EngineOrderKind.Unload, model, adapter: undefined});
		const seen = effect === OrderEffect.None ? ChangeSeen.No : await this.waitUntil(holds => !holds.includes(model), 0);
		const isGone = seen !== ChangeSeen.No;
		// While the model is on record, its room does not count as free.
		this.requireSync(isGone ? ChangeSeen.Recorded : seen);
		this.adapters.delete(model);
		this.heldSince.delete(model);
		this.retiring = undefined;
		await this.publish();
		return isGone;
	}

	/** Waits until heartbeats, or the engine itself when it is asked, show a state. */
	private async waitUntil(isReached: (holds: string[]) => boolean, expectedMs: number): Promise<ChangeSeen> {
		const {clock, readEndpoint, port} = this.options;
		const startedAt = clock.now();
		let askAt = startedAt + expectedMs + overdueMs;
		while (clock.now() - startedAt < maxMoveMs) {
			const endpoint = readEndpoint();
			if (!endpoint) {
				return ChangeSeen.No;
			}

			if (isReached(endpoint.holds.map(({name}) => name))) {
				return ChangeSeen.Recorded;
			}

			if (clock.now() > askAt) {
				askAt = clock.now() + overdueMs;
				// eslint-disable-next-line no-await-in-loop
				const status = await port.readStatus(endpoint.id, endpoint.address);
				if (status && !status.isBusy) {
					return isReached(status.holds.map(({name}) => name)) ? ChangeSeen.Told : ChangeSeen.No;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await this.options.wait(pollMs);
		}

		return ChangeSeen.No;
	}

	private async enqueue<T>(task: () => Promise<T>): Promise<T> {
		const result = this.queue.then(task);
		this.queue = result.catch(() => undefined);
		return result;
	}

	/**
	 * Reads the true state, and publishes what differs. The count of orders stays unknown while an order of a former holder
	 * is under way, or while the endpoint's heartbeats have not told of its end: its memory is not free.
	 */
	private async sync(): Promise<void> {
		const status = await this.orders.readStatus();
		const endpoint = this.options.readEndpoint();
		if (endpoint && status && isSettled(status, endpoint)) {
			this.takeOver(endpoint);
			this.orders.resume(status.orderCount);
			await this.publishDifference(endpoint, status);
		} else {
			this.orders.forget();
			await this.options.wait(unsettledPauseMs);
		}

		this.isSyncing = false;
	}

	/** What a former holder has begun may still be carried out. */
	private takeOver({isOrdering}: FleetEndpoint): void {
		if (isOrdering && !this.hasRecorded) {
			this.orders.expectLateOrder();
		}
	}

	/** Publishes what the record lacks: other adapters, or the end of what a former holder had begun. */
	private async publishDifference({isOrdering, retiring, loading}: FleetEndpoint, {holds}: EngineStatus): Promise<void> {
		const isLeftOver = !this.hasRecorded && (isOrdering || retiring !== undefined || loading !== undefined);
		const before = JSON.stringify(holds.map(({name}) => this.adaptersOf(name).toSorted()));
		holds.forEach(({name, adapters}) => {
			this.setAdapters(name, adapters);
		});
		if (isLeftOver || before !== JSON.stringify(holds.map(({name}) => this.adaptersOf(name).toSorted()))) {
			await this.publish();
		}
	}
}

/** Whether no order is under way, and the log says the same as the engine. */
const isSettled = ({isBusy, loadingAdapters, holds}: EngineStatus, endpoint: FleetEndpoint): boolean =>
	!isBusy && loadingAdapters.length === 0 && isSameSet(holds.map(({name}) => name), endpoint.holds.map(({name}) => name));

const isSameSet = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every(item => b.includes(item));
