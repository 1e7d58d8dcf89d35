/**
 * An engine that counts orders, carries one out at a time, and may carry an unanswered one out late.
 */

import {
	EndpointPhase, EngineOrderKind, type EngineOrder, type FleetEndpoint, type HeldModel, type Holdings,
} from 'mastvalve-fleet';
import {
	OrderOutcome, type EnginePort, type EngineStatus, type SentOrder,
} from '../../src/engines/engine-port.js';
import type {VirtualTime} from '../../../../features/support/virtual-time.js';

/** How the next order is answered. */
export enum Answering {
	Normal = 'normal',
	/** It is lost. */
	Lost = 'lost',
	/** It gets no answer and is carried out later. */
	Late = 'late',
}

const loadMs = 2000;
/** What an engine says of itself is this old, ms. */
const statusLagMs = 300;
const lateMs = 5000;

/** The engine; every model takes one of its places. */
export class StandInEngine {
	/** Orders that would have needed more places than there are. */
	readonly excessive: string[] = [];
	readonly taken: string[] = [];
	/** When loads began, ms. */
	readonly loadsBegunAt: number[] = [];
	count = 0;
	/** Adapters that requests use, as `model/adapter`. */
	inUse: string[] = [];
	holds: HeldModel[];
	/** What the next orders meet, in turn. */
	answering: Answering[] = [];
	/** What holders have recorded. */
	recorded: Holdings | undefined;
	/** What its last heartbeats told, while newer ones are lost. */
	private toldHolds: HeldModel[] | undefined;
	private readonly history: Array<{at: number; status: EngineStatus}> = [];
	private busyWith: string | undefined;
	/** Used adapters whose unloading was taken; they go when the requests end. */
	private readonly leaving = new Set<string>();

	constructor(private readonly time: VirtualTime, private readonly places: number, models: readonly string[], private readonly adapterSlots = 2, private readonly id = 'e') {
		this.holds = models.map(name => ({name, adapters: []}));
		this.remember();
	}

	/** As its heartbeats tell it. */
	get endpoint(): FleetEndpoint {
		return {
			id: this.id, sequence: 1, service: 'llm', address: this.id, failureDomain: 'a', release: '', slots: 1, isLeaving: false, remainingMs: undefined,
			holds: this.toldHolds ?? this.holds, inMemory: [], onDisk: [], phase: EndpointPhase.Ready, retiring: this.recorded?.retiring, loading: this.recorded?.loading, isOrdering: this.recorded?.isOrdering ?? false, orderedAt: 1, revision: 1,
		};
	}

	get port(): EnginePort {
		return {
			sendOrder: async order => this.receive(order),
			readStatus: async () => this.laggingStatus,
		};
	}

	get status(): EngineStatus {
		return {
			holds: this.holds, orderCount: this.count, isBusy: this.busyWith !== undefined, inMemory: [], onDisk: [], loadingAdapters: [],
		};
	}

	/** From now on, heartbeats are lost. */
	loseHeartbeats(): void {
		this.toldHolds = this.holds;
	}

	/** Heartbeats arrive again. */
	findHeartbeats(): void {
		this.toldHolds = undefined;
	}

	/** From now on requests use these adapters. */
	use(adapters: string[]): void {
		this.inUse = adapters;
		[...this.leaving].filter(name => !adapters.includes(name)).forEach(name => {
			const [model = '', adapter = ''] = name.split('/');
			this.leaving.delete(name);
			this.setAdapters(model, held => held.filter(each => each !== adapter));
		});
		this.remember();
	}

	/** Carries an order out, or refuses it. */
	execute(sent: SentOrder): OrderOutcome {
		const outcome = this.carryOut(sent);
		this.remember();
		return outcome;
	}

	/** What it says when it is asked: its state of a moment ago. */
	private get laggingStatus(): EngineStatus {
		this.remember();
		const known = this.history.filter(({at}) => at <= this.time.clock.now() - statusLagMs);
		return known.at(-1)?.status ?? this.history[0]?.status ?? this.status;
	}

	private remember(): void {
		this.history.push({at: this.time.clock.now(), status: this.status});
	}

	private isHeld({model, adapter}: EngineOrder): boolean {
		return this.holds.some(({name, adapters}) => name === model && (adapter === undefined || adapters.includes(adapter)));
	}

	/** An order counts as excessive whether or not it would be refused for another reason. */
	private noteExcess(order: EngineOrder): void {
		const {kind, model, adapter} = order;
		const isFull = adapter === undefined
			? this.holds.length + (this.busyWith === undefined ? 0 : 1) >= this.places
			: this.holds.flatMap(({adapters}) => adapters).length >= this.adapterSlots;
		if (kind === EngineOrderKind.Load && isFull && !this.isHeld(order)) {
			this.excessive.push(adapter === undefined ? model : `${model}/${adapter}`);
		}
	}

	private carryOut({order, expectedCount}: SentOrder): OrderOutcome {
		if (expectedCount !== this.count) {
			return OrderOutcome.Conflict;
		}

		// What is there already takes no second place; such an order is in force, and not counted.
		if (order.kind === EngineOrderKind.Load && this.isHeld(order)) {
			return OrderOutcome.InForce;
		}

		if (order.adapter !== undefined) {
			return this.executeAdapter(order.kind, order.model, order.adapter);
		}

		if (this.busyWith !== undefined) {
			return OrderOutcome.Conflict;
		}

		this.count += 1;
		this.taken.push(`${order.kind} ${order.model}`);
		if (order.kind === EngineOrderKind.Load) {
			this.load(order.model);
		} else {
			this.holds = this.holds.filter(({name}) => name !== order.model);
		}

		return OrderOutcome.Accepted;
	}

	private executeAdapter(kind: EngineOrderKind, model: string, adapter: string): OrderOutcome {
		const name = `${model}/${adapter}`;
		this.count += 1;
		this.taken.push(`${kind} ${name}`);
		if (kind === EngineOrderKind.Unload) {
			const isUsed = this.inUse.includes(name);
			if (isUsed) {
				this.leaving.add(name);
			} else {
				this.setAdapters(model, adapters => adapters.filter(held => held !== adapter));
			}

			return isUsed ? OrderOutcome.Accepted : OrderOutcome.InForce;
		}

		this.setAdapters(model, adapters => [...adapters, adapter]);
		return OrderOutcome.Accepted;
	}

	private setAdapters(model: string, change: (adapters: string[]) => string[]): void {
		this.holds = this.holds.map(held => (held.name === model ? {...held, adapters: change(held.adapters)} : held));
	}

	private load(model: string): void {
		this.busyWith = model;
		this.loadsBegunAt.push(this.time.clock.now());
		void this.time.wait(loadMs).then(() => {
			this.busyWith = undefined;
			this.holds = [...this.holds, {name: model, adapters: []}];
			this.remember();
		});
	}

	private receive(order: SentOrder): OrderOutcome {
		const answering = this.answering.shift() ?? Answering.Normal;
		if (answering === Answering.Normal) {
			this.noteExcess(order.order);
		}

		if (answering === Answering.Late) {
			void this.time.wait(lateMs).then(() => {
				// A late copy that is void by its count was not in excess when it was sent.
				if (order.expectedCount === this.count) {
					this.noteExcess(order.order);
				}

				this.execute(order);
			});
		}

		return answering === Answering.Normal ? this.execute(order) : OrderOutcome.Unanswered;
	}
}
