/**
 * Changes which models and adapters one engine holds, by sequences of orders with a committed record before and after them.
 * The memory of an ordered load stays reserved until the engine's own state shows the result.
 */

import {
	EngineLedger, EngineOrderKind,
	type AdapterMove, type AdapterName, type EngineOrder, type EngineSpec, type EngineState, type ExpectedLoad, type FleetEndpoint, type HeldModel, type Holdings, type ModelMove,
} from 'mastvalve-fleet';
import {ChangeConfirmation, ChangeWatch} from './change-watch.js';
import type {EngineStatus} from './engine-port.js';
import {isSameSet, isSettled} from './settled-state.js';
import {
	maxOrderDelayMs, OrderEffect, OrderSequence, type OrderSequenceOptions,
} from './order-sequence.js';

export type EngineControllerOptions = OrderSequenceOptions & {
	/** Records the holdings that orders change; resolves to whether the record was committed. Every order is preceded by a record. */
	publish: (holdings: Holdings) => Promise<boolean>;
	/** Returns the capacity of the engine; undefined while no configuration declares it. */
	readSpec: () => EngineSpec | undefined;
	/** Ledger of the engine's capacity; proofs pass faulty ones. */
	ledger?: EngineLedger;
};

/** Delay before an unsettled state is read again, ms. */
const unsettledRetryMs = 400;
/** Time after which entries have stopped sending requests for a retiring model, ms: a commit, a round trip to followers and a margin. */
const retireDelayMs = 60;
/** Duration that an unload adds to a move if no running request delays it, ms. */
const unloadMs = 200;
/** Duration of an adapter load: a fixed part, ms, and a part per MB. Declared durations are 5 ms for 12 MB and 14 ms for 66 MB; the values include a margin. */
const adapterFixedMs = 5;
const adapterMsPerMb = 0.3;

export class EngineController {
	private readonly orders: OrderSequence;
	private readonly ledger: EngineLedger;
	private readonly watch: ChangeWatch;
	private readonly loadedAt = new Map<string, number>();
	private loading: ExpectedLoad | undefined;
	private retiring: string | undefined;
	private queue: Promise<unknown> = Promise.resolve();
	private isSyncing = false;
	/** Whether this controller has recorded anything; until then, the record stems from a former holder. */
	private hasRecorded = false;
	/** Number of moves in progress. */
	private activeMoves = 0;

	constructor(private readonly options: EngineControllerOptions) {
		this.orders = new OrderSequence(options);
		this.watch = new ChangeWatch(options);
		this.ledger = options.ledger ?? new EngineLedger();
	}

	/**
	 * Whether orders may be planned: the engine's state was read, no order of another holder is in progress, and the log
	 * matches the state. Otherwise requests another read.
	 */
	get isReady(): boolean {
		if ((!this.orders.isCountKnown || this.orders.isStatusDue) && !this.isSyncing) {
			this.requestSync();
		}

		return this.orders.isCountKnown;
	}

	/** Describes the engine for placement. Until its state is read, the record of a former holder counts as well. */
	describe(endpoint: FleetEndpoint): EngineState {
		const recorded = this.orders.isCountKnown ? undefined : endpoint;
		return {
			id: endpoint.id,
			failureDomain: endpoint.failureDomain,
			isReady: this.isReady,
			hasUnresolvedOrder: this.orders.hasUnresolvedOrder,
			holds: this.ledger.listHeldModels(endpoint.holds),
			loading: (this.loading ?? recorded?.loading)?.model,
			retiring: this.retiring ?? recorded?.retiring,
			loadingAdapters: this.ledger.pendingAdapters,
			limitPerSecond: endpoint.limitPerSecond,
			inMemory: endpoint.inMemory,
			onDisk: endpoint.onDisk,
		};
	}

	/** Returns how long the engine has held a model, ms; infinite if this controller did not load it. */
	residencyMsOf(model: string): number {
		return this.options.clock.now() - (this.loadedAt.get(model) ?? Number.NEGATIVE_INFINITY);
	}

	/** Requests another read of the engine's state, for example after a report that contradicts the record. */
	requestSync(): void {
		this.isSyncing = true;
		void this.enqueue(async () => this.sync());
	}

	/** Loads a model, unloading another one first if needed. Resolves when the move is done or has failed; calls `onBegun` once the load can no longer begin later. */
	async moveModel(move: ModelMove, expectedMs: number, onBegun: () => void = () => undefined): Promise<void> {
		this.loading = {model: move.load, expectedMs: expectedMs + (move.evict === undefined ? 0 : unloadMs), source: move.source};
		this.retiring = move.evict;
		this.activeMoves += 1;
		const isRecorded = await this.publish();
		const isReady = isRecorded && (move.evict === undefined || await this.unloadModel(move.evict));
		this.retiring = undefined;
		const effect = isReady ? await this.enqueueOrder({kind: EngineOrderKind.Load, model: move.load, adapter: undefined}) : OrderEffect.None;
		this.reportBegun(effect, onBegun);
		if (isAccepted(effect)) {
			const confirmation = await this.watch.waitUntil(holds => holds.includes(move.load), expectedMs);
			const isLoaded = confirmation !== ChangeConfirmation.None;
			if (confirmation === ChangeConfirmation.Record) {
				this.ledger.recordLoaded(move.load);
			}

			this.resyncUnlessRecorded(confirmation);
			this.loadedAt.set(move.load, this.options.clock.now());
			this.options.onEvent('engine.changed', `${this.options.id} ${isLoaded ? 'holds' : 'may not hold'} ${move.load} from ${move.source}`);
		}

		this.loading = undefined;
		this.activeMoves -= 1;
		await this.publish();
	}

	/** Loads an adapter, unloading another one first if needed. */
	async moveAdapter({model, load, evict}: AdapterMove, sizeMb: number): Promise<void> {
		const name: AdapterName = {model, adapter: load};
		this.ledger.beginLoad(name, evict);
		this.activeMoves += 1;
		const isRecorded = await this.publish();
		const effect = isRecorded
			? await this.enqueue(async () => {
				const hasFreeSlot = !evict || await this.freeAdapterSlot(evict);
				return hasFreeSlot ? this.sendIfFits({kind: EngineOrderKind.Load, model, adapter: load}) : OrderEffect.None;
			})
			: OrderEffect.None;
		if (isAccepted(effect)) {
			await this.options.wait(adapterFixedMs + (sizeMb * adapterMsPerMb));
		}

		this.ledger.endLoad(name);
		this.activeMoves -= 1;
		await this.publish();
	}

	/** Reports that a load has begun; after an unanswered order only once that order can no longer be executed. */
	private reportBegun(effect: OrderEffect, onBegun: () => void): void {
		if (effect === OrderEffect.Unknown) {
			void this.options.wait(maxOrderDelayMs).then(onBegun);
		} else {
			onBegun();
		}
	}

	/** Unloads an adapter; false while requests still use it and its slot is not free. */
	private async freeAdapterSlot({model, adapter}: AdapterName): Promise<boolean> {
		const effect = await this.sendIfFits({kind: EngineOrderKind.Unload, model, adapter});
		if (effect === OrderEffect.Done) {
			this.ledger.recordAdapterUnloaded({model, adapter}, this.recordedHolds);
		}

		if (effect === OrderEffect.InProgress) {
			this.orders.invalidateCount();
		}

		return effect === OrderEffect.Done;
	}

	/** Sends an order if it fits beside everything the engine holds or may hold; otherwise requires its state to be read again. */
	private async sendIfFits(order: EngineOrder): Promise<OrderEffect> {
		const spec = this.options.readSpec();
		if (!spec || this.conflictsWithLateOrder(order) || !this.ledger.mayOrder(order, this.recordedHolds, spec)) {
			this.options.onEvent('order.withheld', `${order.kind} ${order.model}${order.adapter === undefined ? '' : `/${order.adapter}`} at ${this.options.id}: it may not fit`);
			this.orders.invalidateCount();
			return OrderEffect.None;
		}

		this.ledger.recordSent(order, this.recordedHolds);
		const effect = await this.orders.send(order);
		if (effect === OrderEffect.None) {
			this.ledger.recordRefusal(order);
		}

		return effect;
	}

	/** Whether an order may exceed the capacity together with a late one, which no status of the engine shows. An unload is always safe: once the engine counts it, it refuses the late order. */
	private conflictsWithLateOrder({kind}: EngineOrder): boolean {
		return kind === EngineOrderKind.Load && this.orders.hasUnresolvedOrder;
	}

	private get recordedHolds(): HeldModel[] {
		return this.options.readEndpoint()?.holds ?? [];
	}

	private async enqueueOrder(order: EngineOrder): Promise<OrderEffect> {
		return this.enqueue(async () => this.sendIfFits(order));
	}

	/**
	 * Requires the state to be read again unless the log confirms the order. An unconfirmed order may still be in progress, and
	 * one confirmed by status only is missing in the record: its memory is not free until engine and record match.
	 */
	private resyncUnlessRecorded(confirmation: ChangeConfirmation): void {
		if (confirmation !== ChangeConfirmation.Record) {
			this.orders.invalidateCount();
		}
	}

	private async publish(): Promise<boolean> {
		this.hasRecorded = true;
		return this.options.publish({
			id: this.options.id, adapters: this.ledger.knownAdapters, retiring: this.retiring, loading: this.loading, isOrdering: this.activeMoves > 0 || this.orders.hasUnresolvedOrder,
		});
	}

	/** Unloads a model after entries have stopped sending requests for it; resolves to whether it is unloaded. */
	private async unloadModel(model: string): Promise<boolean> {
		await this.options.wait(retireDelayMs);
		const effect = await this.enqueueOrder({kind: EngineOrderKind.Unload, model, adapter: undefined});
		const confirmation = isAccepted(effect) ? await this.watch.waitUntil(holds => !holds.includes(model), 0) : ChangeConfirmation.None;
		const isUnloaded = confirmation !== ChangeConfirmation.None;
		// While the record still lists the model, its memory does not count as free.
		this.resyncUnlessRecorded(isUnloaded ? ChangeConfirmation.Record : confirmation);
		if (isUnloaded) {
			this.ledger.recordUnloaded(model);
		}

		this.loadedAt.delete(model);
		this.retiring = undefined;
		await this.publish();
		return isUnloaded;
	}

	private async enqueue<T>(task: () => Promise<T>): Promise<T> {
		const result = this.queue.then(task);
		this.queue = result.catch(() => undefined);
		return result;
	}

	/**
	 * Reads the engine's state and publishes what differs. The order count stays unknown while an order of a former holder is in
	 * progress, or while no heartbeat has confirmed its end: its memory is not free.
	 */
	private async sync(): Promise<void> {
		const status = await this.orders.readStatus();
		const endpoint = this.options.readEndpoint();
		if (endpoint && status && isSettled(status, endpoint)) {
			this.inheritLateOrder(endpoint);
			this.orders.setCount(status.orderCount);
			await this.publishDifference(endpoint, status);
		} else {
			this.orders.invalidateCount();
			await this.options.wait(unsettledRetryMs);
		}

		this.isSyncing = false;
	}

	/** Expects a late order if a former holder recorded that it was sending orders. */
	private inheritLateOrder({isOrdering}: FleetEndpoint): void {
		if (isOrdering && !this.hasRecorded) {
			this.orders.expectLateOrder();
		}
	}

	/** Resets the ledger to the engine's state, and publishes what the record lacks: other adapters, or the end of a former holder's moves. */
	private async publishDifference({isOrdering, retiring, loading, holds: recorded}: FleetEndpoint, {holds}: EngineStatus): Promise<void> {
		const hasStaleMove = !this.hasRecorded && (isOrdering || retiring !== undefined || loading !== undefined);
		const before = this.ledger.listHeldModels(recorded);
		this.ledger.reconcile(holds);
		if (hasStaleMove || !hasSameAdapters(before, holds)) {
			await this.publish();
		}
	}
}

const isAccepted = (effect: OrderEffect): boolean => effect === OrderEffect.InProgress || effect === OrderEffect.Done;

const hasSameAdapters = (a: readonly HeldModel[], b: readonly HeldModel[]): boolean =>
	b.every(({name, adapters}) => isSameSet(a.find(held => held.name === name)?.adapters ?? [], adapters));
