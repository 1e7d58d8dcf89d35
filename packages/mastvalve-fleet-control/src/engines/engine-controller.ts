/**
 * Changes of one engine: which models and adapters it holds, as series of orders with the records before and behind them.
 * What was ordered keeps its memory until the engine's own state shows what came of it.
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

/** What a desk is made from. */
export type EngineControllerOptions = OrderSequenceOptions & {
	/** Records what orders change; whether that was committed. Every order is preceded by a record. */
	publish: (holdings: Holdings) => Promise<boolean>;
	/** What the engine has room for; undefined while no configuration says it. */
	readSpec: () => EngineSpec | undefined;
	/** The account of the engine's room; proofs hand in broken ones. */
	ledger?: EngineLedger;
};

/** Pause before a state that is not settled is read again, ms. */
const unsettledPauseMs = 400;
/** Entries stop sending requests for a model this long after it was published, ms: a commit, a round to followers, and reserve. */
const retireNoticeMs = 60;
/** What unloading adds to the time of a move when no run holds it up, ms. */
const unloadMs = 200;
/** Time in which an adapter arrives: a fixed part, and a part for each MB, with reserve: 12 MB in 5 ms and 66 MB in 14 ms were declared, ms. */
const adapterFixedMs = 5;
const adapterMsPerMb = 0.3;

/** One desk. */
export class EngineController {
	private readonly orders: OrderSequence;
	private readonly ledger: EngineLedger;
	private readonly watch: ChangeWatch;
	private readonly heldSince = new Map<string, number>();
	private loading: ExpectedLoad | undefined;
	private retiring: string | undefined;
	private queue: Promise<unknown> = Promise.resolve();
	private isSyncing = false;
	/** Whether this desk has recorded anything; before that, what is recorded is of a former holder. */
	private hasRecorded = false;
	/** Moves that were begun and have not ended. */
	private moves = 0;

	constructor(private readonly options: EngineControllerOptions) {
		this.orders = new OrderSequence(options);
		this.watch = new ChangeWatch(options);
		this.ledger = options.ledger ?? new EngineLedger();
	}

	/**
	 * Whether orders may be planned: the true state was read, no order of somebody else is under way, and the log says the
	 * same. Otherwise it is read again soon.
	 */
	get isReady(): boolean {
		if ((!this.orders.isCountKnown || this.orders.isStatusDue) && !this.isSyncing) {
			this.requestSync();
		}

		return this.orders.isCountKnown;
	}

	/** What placement needs to know. Until the true state was read, what a former holder has recorded counts as well. */
	describe(endpoint: FleetEndpoint): EngineState {
		const recorded = this.orders.isCountKnown ? undefined : endpoint;
		return {
			id: endpoint.id,
			failureDomain: endpoint.failureDomain,
			isReady: this.isReady,
			hasUnresolvedOrder: this.orders.hasLateOrder,
			holds: this.ledger.listHeldModels(endpoint.holds),
			loading: (this.loading ?? recorded?.loading)?.model,
			retiring: this.retiring ?? recorded?.retiring,
			loadingAdapters: this.ledger.pendingAdapters,
			limitPerSecond: endpoint.limitPerSecond,
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
		this.tellBegun(effect, onBegun);
		if (isTaken(effect)) {
			const seen = await this.watch.waitUntil(holds => holds.includes(move.load), expectedMs);
			const isThere = seen !== ChangeConfirmation.None;
			if (seen === ChangeConfirmation.Record) {
				this.ledger.recordLoaded(move.load);
			}

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
		const name: AdapterName = {model, adapter: load};
		this.ledger.beginLoad(name, evict);
		this.moves += 1;
		const isRecorded = await this.publish();
		const effect = isRecorded
			? await this.enqueue(async () => {
				const hasRoom = !evict || await this.freeSlot(evict);
				return hasRoom ? this.give({kind: EngineOrderKind.Load, model, adapter: load}) : OrderEffect.None;
			})
			: OrderEffect.None;
		if (isTaken(effect)) {
			await this.options.wait(adapterFixedMs + (sizeMb * adapterMsPerMb));
		}

		this.ledger.endLoad(name);
		this.moves -= 1;
		await this.publish();
	}

	/** Without an answer, the load may begin for as long as its order may be carried out late. */
	private tellBegun(effect: OrderEffect, onBegun: () => void): void {
		if (effect === OrderEffect.Unknown) {
			void this.options.wait(maxOrderDelayMs).then(onBegun);
		} else {
			onBegun();
		}
	}

	/** Unloads an adapter; false while requests still use it, so that its slot is not free yet. */
	private async freeSlot({model, adapter}: AdapterName): Promise<boolean> {
		const effect = await this.give({kind: EngineOrderKind.Unload, model, adapter});
		if (effect === OrderEffect.Done) {
			this.ledger.recordAdapterUnloaded({model, adapter}, this.recordedHolds);
		}

		if (effect === OrderEffect.UnderWay) {
			this.orders.invalidateCount();
		}

		return effect === OrderEffect.Done;
	}

	/** Gives an order if it fits beside all that is or may be in the engine; otherwise its state is read again. */
	private async give(order: EngineOrder): Promise<OrderEffect> {
		const spec = this.options.readSpec();
		if (!spec || this.mayMeetLateOrder(order) || !this.ledger.mayOrder(order, this.recordedHolds, spec)) {
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

	/** What an order that may still come late needs is in no status of the engine; once an unload was counted, that order is void. */
	private mayMeetLateOrder({kind}: EngineOrder): boolean {
		return kind === EngineOrderKind.Load && this.orders.hasLateOrder;
	}

	private get recordedHolds(): HeldModel[] {
		return this.options.readEndpoint()?.holds ?? [];
	}

	private async order(order: EngineOrder): Promise<OrderEffect> {
		return this.enqueue(async () => this.give(order));
	}

	/**
	 * An order whose end was not seen may still be under way, and one whose end no heartbeat has told is missing in the
	 * record: its memory is not free until the engine and the record say the same.
	 */
	private requireSync(seen: ChangeConfirmation): void {
		if (seen !== ChangeConfirmation.Record) {
			this.orders.invalidateCount();
		}
	}

	private async publish(): Promise<boolean> {
		this.hasRecorded = true;
		return this.options.publish({
			id: this.options.id, adapters: this.ledger.knownAdapters, retiring: this.retiring, loading: this.loading, isOrdering: this.moves > 0 || this.orders.hasLateOrder,
		});
	}

	/** Unloads a model once entries have stopped sending requests for it. */
	private async unload(model: string): Promise<boolean> {
		await this.options.wait(retireNoticeMs);
		const effect = await this.order({kind: EngineOrderKind.Unload, model, adapter: undefined});
		const seen = isTaken(effect) ? await this.watch.waitUntil(holds => !holds.includes(model), 0) : ChangeConfirmation.None;
		const isGone = seen !== ChangeConfirmation.None;
		// While the model is on record, its room does not count as free.
		this.requireSync(isGone ? ChangeConfirmation.Record : seen);
		if (isGone) {
			this.ledger.recordUnloaded(model);
		}

		this.heldSince.delete(model);
		this.retiring = undefined;
		await this.publish();
		return isGone;
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
			this.orders.setCount(status.orderCount);
			await this.publishDifference(endpoint, status);
		} else {
			this.orders.invalidateCount();
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

	/** Takes the engine's state as all there is, and publishes what the record lacks: other adapters, or the end of what a former holder had begun. */
	private async publishDifference({isOrdering, retiring, loading, holds: recorded}: FleetEndpoint, {holds}: EngineStatus): Promise<void> {
		const isLeftOver = !this.hasRecorded && (isOrdering || retiring !== undefined || loading !== undefined);
		const before = this.ledger.listHeldModels(recorded);
		this.ledger.reconcile(holds);
		if (isLeftOver || !isSameAdapters(before, holds)) {
			await this.publish();
		}
	}
}

const isTaken = (effect: OrderEffect): boolean => effect === OrderEffect.UnderWay || effect === OrderEffect.Done;

const isSameAdapters = (a: readonly HeldModel[], b: readonly HeldModel[]): boolean =>
	b.every(({name, adapters}) => isSameSet(a.find(held => held.name === name)?.adapters ?? [], adapters));
