/**
 * Keeps one engine at what the configuration asks: reads its state, then gives at most one order, again and again.
 */

import {listAssignments, computeModelMemory} from 'mastvalve-configuration';
import type {ProgramContext} from 'mastvalve-http';
import {
	AssignmentMode, OrderKind, type Assignment, type Configuration, type Endpoint, type FencingToken, type Model,
} from 'mastvalve-types';
import {describeError} from 'mastvalve-utils';
import {chooseDraining, chooseOrder} from './choose-order.js';
import type {EngineClient} from './engine-client.js';
import {MemoryLedger} from './memory-ledger.js';

/** What the keeper needs to know of the requests. */
export type EngineUse = {
	listWaitingModels: () => string[];
	isBusy: (model: string) => boolean;
	lastUsedAt: (model: string) => number;
};

/** Options of a keeper. */
export type EngineKeeperOptions = {
	context: ProgramContext;
	client: EngineClient;
	capacity: number;
	/** Whether the engine checks tokens. */
	fenced: boolean;
	use: EngineUse;
	/** Called when a model became ready or ceased to be. */
	onChange: () => void;
};

/** For this long after its start, a sidecar beside an engine that checks no tokens holds back room for a late order of its predecessor, ms. */
const foreignOrderMs = 10_000;

/** The keeper. */
export class EngineKeeper {
	readonly ledger: MemoryLedger;
	private sequence = 0;
	private draining: string | undefined;
	private readonly loadedAt = new Map<string, number>();
	private assignments: Assignment[] = [];
	private models: Record<string, Model> = {};
	private readonly startedAt: number;

	constructor(private readonly options: EngineKeeperOptions) {
		this.ledger = new MemoryLedger(options.capacity);
		this.startedAt = options.context.clock.now();
	}

	/** Whether the engine isn't yet as it should be, or requests wait for a model. */
	get hasWork(): boolean {
		const {loaded} = this.ledger;
		const assigned = new Set(this.assignments.map(assignment => assignment.model));
		const residents = this.assignments.filter(assignment => assignment.mode === AssignmentMode.Resident);
		return !this.ledger.isKnown
			|| this.ledger.hasOpenOrders
			|| this.ledger.unproved.length > 0
			|| residents.some(assignment => !loaded.includes(assignment.model))
			|| loaded.some(model => !assigned.has(model))
			|| this.options.use.listWaitingModels().some(model => !this.isReady(model));
	}

	/** Whether requests for a model may run now. */
	isReady(model: string): boolean {
		return model !== this.draining && this.ledger.loaded.includes(model) && !this.ledger.isUnloading(model);
	}

	isAssigned(model: string): boolean {
		return this.assignments.some(assignment => assignment.model === model);
	}

	/** Takes over what the configuration asks of this endpoint. */
	configure(configuration: Configuration, endpoint: Endpoint): void {
		this.models = configuration.models;
		this.assignments = listAssignments(configuration, endpoint);
		this.ledger.setSizes(new Map(Object.values(configuration.models).map(model => [model.name, computeModelMemory(model)])));
	}

	/** One round: status, then at most one order. */
	async runRound(endpoint: Endpoint): Promise<void> {
		const before = this.ledger.loaded.join(' ');
		const fence = this.nextToken(endpoint);
		const status = await this.options.client.readStatus(fence);
		this.ledger.applyStatus(status, this.options.fenced ? fence : undefined);
		this.holdForeignReserve();
		this.recordLoads();
		if (this.ledger.loaded.join(' ') !== before) {
			this.options.context.timeline.record('engine.changed', `holds ${this.ledger.loaded.join(', ') || 'nothing'}; ${this.ledger.committed} of memory committed`);
			this.options.onChange();
		}

		await this.giveOrder(endpoint);
	}

	private async giveOrder(endpoint: Endpoint): Promise<void> {
		const {use, context} = this.options;
		const waiting = use.listWaitingModels();
		this.draining = chooseDraining(this.ledger, {
			assignments: this.assignments,
			sizeOf: model => this.sizeOf(model),
			waiting,
			isBusy: use.isBusy,
			draining: this.draining,
			loadedForMs: model => context.clock.now() - (this.loadedAt.get(model) ?? 0),
		});
		const choice = chooseOrder(this.ledger, {
			assignments: this.assignments,
			sizeOf: model => this.sizeOf(model),
			waiting,
			draining: this.draining,
			isBusy: use.isBusy,
			lastUsedAt: use.lastUsedAt,
		});
		const mustWait = this.ledger.hasOpenOrders && choice?.kind === OrderKind.Unload;
		if (!choice || mustWait) {
			return;
		}

		const adapters = this.models[choice.model]?.adapters.map(adapter => adapter.name) ?? [];
		const order = {
			...choice, size: this.sizeOf(choice.model), adapters, token: this.nextToken(endpoint),
		};
		this.ledger.recordSent(order);
		const {term, sequence} = order.token;
		this.options.context.timeline.record('order.sent', `${order.kind} ${order.model} under ${term}.${sequence}; ${this.ledger.committed} of ${this.options.capacity} committed`);
		await this.options.client.sendOrder(order).catch((error: unknown) => {
			this.options.context.timeline.record('order.unanswered', `${order.kind} ${order.model}: ${describeError(error)}; its memory stays reserved`);
		});
	}

	private recordLoads(): void {
		const now = this.options.context.clock.now();
		const loaded = new Set(this.ledger.loaded);
		[...this.loadedAt.keys()].filter(model => !loaded.has(model)).forEach(model => {
			this.loadedAt.delete(model);
		});
		loaded.forEach(model => {
			this.loadedAt.set(model, this.loadedAt.get(model) ?? now);
		});
	}

	private holdForeignReserve(): void {
		const isOver = this.options.fenced || this.options.context.clock.now() - this.startedAt > foreignOrderMs;
		const largest = Math.max(0, ...Object.values(this.models).map(computeModelMemory));
		this.ledger.setForeignReserve(isOver ? 0 : largest);
	}

	private sizeOf(model: string): number {
		const declared = this.models[model];
		return declared ? computeModelMemory(declared) : this.options.capacity;
	}

	private nextToken(endpoint: Endpoint): FencingToken {
		this.sequence += 1;
		return {term: endpoint.incarnation, sequence: this.sequence};
	}
}
