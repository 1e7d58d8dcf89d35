/**
 * The leader's duty towards engines: brings models and adapters to where requests want them.
 *
 * Only the instance whose claim is committed gives orders. Another one waits after its claim until the former can't
 * order any more, so engines never see two holders by turns.
 */

import {
	anticipateRates, DemandStep, EndpointPhase, ModelDemandEstimate, planAdapterMove, planAdapterPrefetch, planModelMove, StoreRate, WeightSource,
	type EngineModel, type EngineSpec, type EngineState, type FleetEndpoint, type FleetMachine, type Holdings, type ModelMove, type ServedService, type StoreBounds, type WantedModel,
} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import type {DemandReport, Wanted} from '../demand-report.js';
import {EngineDesk} from './engine-desk.js';
import type {EnginePort} from './engine-port.js';
import {ForeignStoreLoads} from './foreign-store-loads.js';
import {FormerHolder, OrderTurns} from './order-turns.js';

/** What directing needs. */
export type EngineDirectorOptions = {
	machine: FleetMachine;
	clock: Clock;
	/** Waits so many ms. */
	wait: (ms: number) => Promise<void>;
	port: EnginePort;
	/** Name of this instance at engines. */
	holder: string;
	/** The term in which this instance leads with a valid lease; undefined when it doesn't. */
	readTerm: () => number | undefined;
	/** Commits the claim to give orders; the result is the former holder, empty for none. */
	claim: () => Promise<string | undefined>;
	/** Whether the record was committed. */
	publish: (holdings: Holdings) => Promise<boolean>;
	/** Time for which the orders of one holder keep another from ordering, ms. */
	orderLeaseMs: number;
	/** Window in which loads from the store are counted, ms. */
	storeWindowMs: number;
	onEvent: (kind: string, detail: string) => void;
};

/** Added to the lease for messages that were on their way, ms. */
const leaseReserveMs = 300;
/** What an entry wants is void when it has not been repeated, ms: three reports. */
const wantedMs = 3000;
/**
 * Requests a second, for each engine, that are expected of the first models of the list until the first request comes:
 * the engines of both deployments get about 4 each on an ordinary day, 43 of 100 for the busiest model. Demand moves
 * along the list by two or three places soon after the first request on both deployments, so those models get more
 * engines while nobody is waiting.
 */
const expectedRates = [1.2, 0.6, 1.3, 1.4, 0.6, 0.5, 0.4, 0.3, 0.3];
/** Moves that one round begins at the most; the rest waits for the next. */
const maxMovesPerRound = 6;
/** Adapters that one round begins to load ahead of need. */
const maxPrefetchesPerRound = 8;

type KnownWanted = Wanted & {deadlineAt: number};

/** The director. */
export class EngineDirector {
	private readonly demand = new ModelDemandEstimate();
	private readonly urgentDemand = new ModelDemandEstimate();
	private readonly adapterDemand = new ModelDemandEstimate();
	private readonly demandStep = new DemandStep();
	private readonly desks = new Map<string, EngineDesk>();
	/** By entry. */
	private readonly wanted = new Map<string, {at: number; items: KnownWanted[]}>();
	private readonly storeRate = new StoreRate();
	private readonly storeLoads = new ForeignStoreLoads(this.storeRate);
	private claimedTerm: number | undefined;
	private readonly turns: OrderTurns;
	private isClaiming = false;
	/** When this instance became the holder of the orders, ms. */
	private aloneSince = Number.NEGATIVE_INFINITY;
	/** Whether nobody gave orders before, so that the list of models is at its beginning. */
	private isFirstHolder = false;

	constructor(private readonly options: EngineDirectorOptions) {
		this.turns = new OrderTurns(options.orderLeaseMs + leaseReserveMs);
	}

	/** Hears what callers of one entry ask for. */
	hear({entry, requests, urgent, wanted, suspects}: DemandReport): void {
		const now = this.options.clock.now();
		Object.entries(requests).forEach(([name, count]) => {
			this.demand.record(name.split('/', 1)[0] ?? name, count, now);
			this.adapterDemand.record(name, count, now);
		});
		Object.entries(urgent).forEach(([model, count]) => {
			this.urgentDemand.record(model, count, now);
		});
		this.wanted.set(entry, {at: now, items: wanted.map(item => ({...item, deadlineAt: now + item.remainingMs}))});
		suspects.forEach(id => this.desks.get(id)?.requestSync());
		void this.runRound();
	}

	/** One round: claims the orders if need be, then begins moves. */
	async runRound(): Promise<void> {
		const {machine, clock} = this.options;
		this.turns.observe(machine.list(), clock.now());
		const term = this.options.readTerm();
		if (term === undefined) {
			this.storeLoads.observe(machine.list(), clock.now());
			this.desks.clear();
			this.claimedTerm = undefined;
			return;
		}

		if (this.claimedTerm !== term) {
			await this.takeClaim(term);
			return;
		}

		machine.configuration?.configuration.services.forEach(service => {
			this.directService(service);
		});
	}

	private async takeClaim(term: number): Promise<void> {
		if (this.isClaiming) {
			return;
		}

		this.isClaiming = true;
		const former = await this.options.claim();
		this.isClaiming = false;
		if (former === undefined) {
			return;
		}

		const {machine, clock, holder, onEvent} = this.options;
		this.storeLoads.observe(machine.list(), clock.now());
		this.isFirstHolder ||= former === '';
		this.claimedTerm = term;
		this.aloneSince = former === '' ? Number.NEGATIVE_INFINITY : clock.now();
		this.turns.begin(clock.now(), classifyFormer(former, holder));
		onEvent('orders.claimed', `in term ${term} after ${former || 'nobody'}`);
	}

	private directService(service: ServedService): void {
		const {engine} = service;
		if (!engine) {
			return;
		}

		const endpoints = this.options.machine.list().filter(endpoint => endpoint.service === service.name && endpoint.phase === EndpointPhase.Ready);
		const wanted = this.listWanted(service.name);
		this.expectDemand(engine, endpoints.length);
		this.moveAdapters(engine, endpoints, wanted);
		this.prefetchAdapters(engine, endpoints);
		this.moveModels(engine, endpoints, wanted);
	}

	/** Before the first request, demand is expected in the order in which models are declared. */
	private expectDemand(spec: EngineSpec, engines: number): void {
		if (this.isFirstHolder && this.demand.isEmpty) {
			this.demand.expect(spec.models.map(({name}, rank) => [name, (expectedRates[rank] ?? 0) * engines]));
		}
	}

	private describe(endpoints: readonly FleetEndpoint[]): EngineState[] {
		const now = this.options.clock.now();
		return endpoints.map(endpoint => {
			const state = this.deskOf(endpoint.id).describe(endpoint);
			return {...state, isReady: state.isReady && this.turns.mayOrder(endpoint, now)};
		});
	}

	private moveAdapters(spec: EngineSpec, endpoints: readonly FleetEndpoint[], wanted: readonly KnownWanted[]): void {
		const now = this.options.clock.now();
		wanted.forEach(({model, adapter}) => {
			const move = adapter !== undefined && planAdapterMove({
				spec, engines: this.describe(endpoints), model, adapter, idleOf: name => this.adapterDemand.idleOf(name, now),
			});
			if (move) {
				void this.deskOf(move.engine).moveAdapter(move, findModel(spec, model)?.adapterSize ?? 0);
			}
		});
	}

	/** Loads adapters into free slots before anybody waits for them. */
	private prefetchAdapters(spec: EngineSpec, endpoints: readonly FleetEndpoint[]): void {
		const expected = this.anticipate(spec);
		Array.from({length: maxPrefetchesPerRound}).some(() => {
			const move = planAdapterPrefetch({spec, engines: this.describe(endpoints), expectedRateOf: model => expected.get(model) ?? 0});
			if (move) {
				void this.deskOf(move.engine).moveAdapter(move, findModel(spec, move.model)?.adapterSize ?? 0);
			}

			return move === undefined;
		});
	}

	/** Demand that may come soon, by model. */
	private anticipate(spec: EngineSpec): Map<string, number> {
		const now = this.options.clock.now();
		const models = spec.models.map(({name}) => name);
		const rateOf = (model: string): number => this.demand.rateOf(model, now);
		const urgentRateOf = (model: string): number => this.urgentDemand.rateOf(model, now);
		if (!this.urgentDemand.isEmpty) {
			this.demandStep.observe(models.map(model => urgentRateOf(model)));
		}

		return anticipateRates({
			models, rateOf, urgentRateOf, isPatient: model => this.demand.knows(model) && !this.urgentDemand.knows(model), step: this.demandStep.step,
		});
	}

	private moveModels(spec: EngineSpec, endpoints: readonly FleetEndpoint[], wanted: readonly KnownWanted[]): void {
		Array.from({length: maxMovesPerRound}).some(() => {
			const move = this.planMove(spec, endpoints, wanted);
			if (move) {
				this.begin(spec, move);
			}

			return move === undefined;
		});
	}

	private planMove(spec: EngineSpec, endpoints: readonly FleetEndpoint[], wanted: readonly KnownWanted[]): ModelMove | undefined {
		const now = this.options.clock.now();
		const expected = this.anticipate(spec);
		return planModelMove({
			spec,
			expectedRateOf: model => expected.get(model) ?? 0,
			engines: this.describe(endpoints),
			wanted: sumByModel(wanted),
			rateOf: model => this.demand.rateOf(model, now),
			idleOf: model => this.demand.idleOf(model, now),
			urgentIdleOf: model => this.urgentDemand.idleOf(model, now),
			heldFor: (id, model) => this.deskOf(id).heldFor(model),
			storeLoads: this.storeRate.available(this.storeBounds(spec), now),
		});
	}

	private begin(spec: EngineSpec, move: ModelMove): void {
		const model = findModel(spec, move.load);
		const expected: Record<WeightSource, number> = {
			[WeightSource.Memory]: model?.memoryLoadMs ?? 0, [WeightSource.Disk]: model?.diskLoadMs ?? 0, [WeightSource.Store]: model?.storeLoadMs ?? 0,
		};
		const noteBegin = move.source === WeightSource.Store ? this.storeRate.order() : undefined;

		this.options.onEvent('engine.moves', `${move.engine} loads ${move.load} from ${move.source}${move.evict === undefined ? '' : ` in place of ${move.evict}`}; ${this.demand.rateOf(move.load, this.options.clock.now()).toFixed(2)} requests/s`);
		void this.deskOf(move.engine).moveModel(move, expected[move.source], () => {
			noteBegin?.(this.options.clock.now());
		});
	}

	private storeBounds(spec: EngineSpec): StoreBounds {
		return {windowMs: this.options.storeWindowMs, loadsPerSecond: spec.storeLoadsPerSecond};
	}

	private listWanted(service: string): KnownWanted[] {
		const now = this.options.clock.now();
		return [...this.wanted.values()]
			.filter(({at}) => now - at < wantedMs)
			.flatMap(({items}) => items)
			.filter(item => item.service === service && item.deadlineAt > now)
			.toSorted((a, b) => a.deadlineAt - b.deadlineAt);
	}

	private deskOf(id: string): EngineDesk {
		const {machine, clock, wait, port, holder, publish, onEvent} = this.options;
		const known = this.desks.get(id);
		if (known) {
			return known;
		}

		const term = this.claimedTerm;
		const desk = new EngineDesk({
			id,
			port,
			clock,
			wait,
			holder,
			aloneSince: this.aloneSince,
			readFence: () => (this.claimedTerm === term && this.options.readTerm() === term ? term : undefined),
			readEndpoint() {
				const endpoint = machine.find(id);
				return endpoint?.phase === EndpointPhase.Ready || endpoint?.phase === EndpointPhase.Silent ? endpoint : undefined;
			},
			publish,
			onEvent,
		});
		this.desks.set(id, desk);
		return desk;
	}
}

/** How many requests wait for each model, over all entries. */
const sumByModel = (wanted: readonly KnownWanted[]): WantedModel[] => {
	const waiting = new Map<string, number>();
	wanted.forEach(item => {
		waiting.set(item.model, (waiting.get(item.model) ?? 0) + item.waiting);
	});
	return [...waiting].map(([model, count]) => ({model, waiting: count}));
};

const classifyFormer = (former: string, holder: string): FormerHolder => {
	if (former === '') {
		return FormerHolder.None;
	}

	return former === holder ? FormerHolder.Itself : FormerHolder.Other;
};

const findModel = (spec: EngineSpec, name: string): EngineModel | undefined => spec.models.find(model => model.name === name);
