/**
 * A stand-in engine with its sidecar in virtual time: the engine's batch, memory and prefix cache are the stand-ins',
 * admission, ledger and choice of orders are the sidecar's own.
 */

import {
	EngineBatch, EngineMemory, PrefixCache, strikes, type Sequence,
} from 'mastvalve-fakes';
import {AdmissionDecision, AdmissionQueue, type AdmissionRequest} from 'mastvalve-routing';
import {chooseDraining, chooseOrder, MemoryLedger} from 'mastvalve-sidecar';
import type {Assignment, Order} from 'mastvalve-types';
import type {Random} from 'mastvalve-utils';
import type {VirtualStore} from './virtual-store.js';
import type {VirtualTime} from './virtual-time.js';
import type {BenchRequest} from './workload.js';

/** Options of an endpoint. */
export type VirtualEndpointOptions = {
	id: string;
	time: VirtualTime;
	store: VirtualStore;
	capacity: number;
	random: Random;
	sizeOf: (model: string) => number;
	loadMsOf: (model: string) => number;
	/** Whether whatever is asked for is loaded at once: for the bound. */
	isOmniscient: boolean;
};

/** A request at an endpoint, and whom to tell. */
export type EndpointRequest = {
	request: BenchRequest;
	model: string;
	deadlineAt: number;
	onFirstToken: () => void;
	onEnd: (isWhole: boolean) => void;
	/** It was given up on in the queue; nothing ran. */
	onRefused: () => void;
};

const maxRunning = 32;
const maxQueued = 128;
const keeperMs = 100;
const blocksPerPrefillStep = 1;

/** One endpoint. */
export class VirtualEndpoint {
	assignments: Assignment[] = [];
	lostOrders = 0;
	isLost = false;
	readonly queue = new AdmissionQueue({
		maxRunning, maxQueued, agingMs: 2000, initialServiceMs: 1500,
	});

	readonly memory: EngineMemory;
	/** Longest wait of a request whose model had to be loaded first, ms. */
	worstColdMs = 0;
	private readonly batch: EngineBatch;
	private readonly cache: PrefixCache;
	private readonly ledger: MemoryLedger;
	private readonly waiting = new Map<string, EndpointRequest>();
	private readonly running = new Map<string, EndpointRequest>();
	private readonly usedAt = new Map<string, number>();
	private sequence = 0;
	private draining: string | undefined;
	private readonly loadedAt = new Map<string, number>();

	constructor(private readonly options: VirtualEndpointOptions) {
		this.memory = new EngineMemory(options.capacity, true);
		this.ledger = new MemoryLedger(options.capacity);
		this.batch = new EngineBatch({
			maxBatch: maxRunning, minStepMs: 10, maxStepMs: 20, schedule: options.time.schedule,
		});
		this.cache = new PrefixCache(3000, 500, 0.1, options.random);
		options.time.repeat(keeperMs, () => {
			this.keepEngine();
		});
	}

	get loaded(): string[] {
		return this.ledger.loaded;
	}

	/** Running and waiting. */
	get load(): number {
		return this.queue.runningCount + this.queue.queuedCount;
	}

	isReady(model: string | undefined): boolean {
		return this.options.isOmniscient || (model !== undefined && model !== this.draining && this.ledger.loaded.includes(model) && !this.ledger.isUnloading(model));
	}

	/** Offers a request; false when it is refused at once. */
	offer(offered: EndpointRequest): boolean {
		const now = this.options.time.now();
		const {request, model, deadlineAt} = offered;
		const isAssigned = this.options.isOmniscient || this.assignments.some(assignment => assignment.model === model);
		if (this.isLost || !isAssigned) {
			return false;
		}

		const admission: AdmissionRequest = {
			id: request.id, priority: request.priority, arrivedAt: now, deadlineAt, model,
		};
		const answer = this.queue.offer(admission, now, this.isReady(model));
		if (answer.displaced) {
			this.refuse(answer.displaced.id);
		}

		if (answer.decision === AdmissionDecision.Admitted) {
			this.start(offered);
		} else if (answer.decision === AdmissionDecision.Queued) {
			this.waiting.set(request.id, offered);
		}

		return answer.decision !== AdmissionDecision.Refused;
	}

	/** The engine and its sidecar are gone; what ran breaks off. */
	lose(): void {
		this.isLost = true;
		const broken = [...this.running.values()];
		const refused = [...this.waiting.values()];
		this.running.clear();
		this.waiting.clear();
		broken.forEach(request => {
			request.onEnd(false);
		});
		refused.forEach(request => {
			request.onRefused();
		});
	}

	private refuse(id: string): void {
		const request = this.waiting.get(id);
		this.waiting.delete(id);
		request?.onRefused();
	}

	private start(started: EndpointRequest): void {
		const {request, model} = started;
		const {cached, total} = this.cache.store(model, request.prompt, this.options.time.now());
		let isFirst = true;
		this.running.set(request.id, started);
		this.usedAt.set(model, this.options.time.now());
		const sequence: Sequence = {
			priority: request.priority,
			prefillSteps: Math.ceil((total - cached) / blocksPerPrefillStep),
			remaining: request.tokens,
			emit() {
				if (isFirst) {
					isFirst = false;
					started.onFirstToken();
				}
			},
			end: () => {
				this.queue.finish(request.id, this.options.time.now());
				if (this.running.delete(request.id)) {
					started.onEnd(true);
				}

				this.advance();
			},
		};
		this.batch.add(sequence);
	}

	private advance(): void {
		const now = this.options.time.now();
		this.queue.removeExpired(now).forEach(request => {
			this.refuse(request.id);
		});
		this.queue.dequeueReady(now, model => this.isReady(model)).forEach(request => {
			const waited = this.waiting.get(request.id);
			this.waiting.delete(request.id);
			if (waited) {
				this.start(waited);
			}
		});
	}

	private keepEngine(): void {
		if (this.isLost) {
			return;
		}

		const before = new Set(this.ledger.loaded);
		const fence = {term: 1, sequence: this.nextSequence()};
		this.memory.raiseFloor(fence);
		this.ledger.applyStatus(this.memory.describe(), fence);
		if (this.ledger.loaded.some(model => !before.has(model))) {
			const now = this.options.time.now();
			this.waiting.forEach(waited => {
				this.worstColdMs = before.has(waited.model) ? this.worstColdMs : Math.max(this.worstColdMs, now - waited.request.at);
			});
		}

		this.advance();
		this.giveOrder();
	}

	private giveOrder(): void {
		const busy = new Set([...this.running.values()].map(request => request.model));
		const now = this.options.time.now();
		const waiting = this.queue.listWaitingModels();
		this.ledger.loaded.forEach(model => {
			this.loadedAt.set(model, this.loadedAt.get(model) ?? now);
		});
		this.draining = chooseDraining(this.ledger, {
			assignments: this.assignments,
			sizeOf: this.options.sizeOf,
			waiting,
			isBusy: model => busy.has(model),
			draining: this.draining,
			loadedForMs: model => now - (this.loadedAt.get(model) ?? now),
		});
		const choice = chooseOrder(this.ledger, {
			assignments: this.assignments,
			sizeOf: this.options.sizeOf,
			waiting,
			draining: this.draining,
			isBusy: model => busy.has(model),
			lastUsedAt: model => this.usedAt.get(model) ?? 0,
		});
		if (!choice || this.options.isOmniscient) {
			return;
		}

		this.loadedAt.delete(choice.model);

		const order: Order = {
			...choice, size: this.options.sizeOf(choice.model), adapters: [], token: {term: 1, sequence: this.nextSequence()},
		};
		this.ledger.recordSent(order);
		if (strikes(this.lostOrders, this.options.random)) {
			return;
		}

		const {finish} = this.memory.carryOut(order);
		if (finish) {
			this.options.store.load(this.options.loadMsOf(order.model), finish);
		}
	}

	private nextSequence(): number {
		this.sequence += 1;
		return this.sequence;
	}
}
