/**
 * Schedules models and adapters onto engines according to demand. Runs on the leader.
 *
 * Only the instance whose claim is committed sends orders. A new holder waits after its claim until the former holder can
 * no longer send orders, so engines never receive orders from two holders alternately.
 */

import {
	EndpointPhase, StoreLoadLimiter, type EngineState, type FleetEndpoint, type FleetMachine, type Holdings, type MeasuredWork, type ModelWork, type ServedService,
} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import type {DemandReport} from '../demand-report.js';
import {EngineDemand} from './engine-demand.js';
import {EngineController} from './engine-controller.js';
import type {EnginePort} from './engine-port.js';
import {MoveDispatcher} from './move-dispatcher.js';
import {PlanningRound} from './planning-round.js';
import {ForeignStoreLoads} from './foreign-store-loads.js';
import {FormerHolder, OrderLeaseGuard} from './order-lease-guard.js';

export type EngineSchedulerOptions = {
	machine: FleetMachine;
	clock: Clock;
	/** Resolves after the given time, ms. */
	wait: (ms: number) => Promise<void>;
	port: EnginePort;
	/** Name under which this instance sends orders. */
	holder: string;
	/** Returns the term in which this instance leads with a valid lease; undefined if it doesn't lead. */
	readTerm: () => number | undefined;
	/** Commits the claim to send orders; resolves to the former holder, empty if there was none, or undefined if the claim failed. */
	claim: () => Promise<string | undefined>;
	/** Records what engines hold; resolves to whether the record was committed. */
	publish: (holdings: Holdings) => Promise<boolean>;
	/** Time after an order during which another holder may not send orders to the same engine, ms. */
	orderLeaseMs: number;
	/** Window over which loads from the weight store are counted, ms. */
	storeWindowMs: number;
	/** Returns the measured work of a service's models, which switches on placement by work; undefined for services whose work isn't measured. */
	workOf?: (service: string) => readonly ModelWork[] | undefined;
	/** Returns the speed of an engine: 1 is usual, 0.5 half as fast; undefined if it was not measured. */
	speedOf?: (engine: string) => number | undefined;
	onEvent: (kind: string, detail: string) => void;
};

/** Added to the lease to allow for messages in flight, ms. */
const leaseMarginMs = 300;
/**
 * Time for which planning excludes an engine after the last report that nothing listens at its address, ms; about the time
 * after which its missing heartbeats are noticed.
 */
const absenceMs = 4000;
/** Reports that arrive within this time share one planning round, ms. */
const reportBatchMs = 10;
/**
 * Maximum share of its time that an instance spends on planning: heartbeats and acknowledgements are handled by the same
 * process, and each report of an entry requests a round.
 */
const maxPlanningShare = 0.1;
/** Maximum delay of the next round after one that took long because the process was suspended, ms; shorter than a load. */
const maxPlanningPauseMs = 500;

export class EngineScheduler {
	private readonly demand: EngineDemand;
	private readonly dispatcher: MoveDispatcher;
	/** Time until which planning excludes an engine because nothing listened at its address, ms. */
	private readonly absentUntil = new Map<string, number>();
	private readonly controllers = new Map<string, EngineController>();
	private readonly storeLoadLimiter = new StoreLoadLimiter();
	private readonly foreignStoreLoads = new ForeignStoreLoads(this.storeLoadLimiter);
	private claimedTerm: number | undefined;
	private readonly leaseGuard: OrderLeaseGuard;
	/** Incremented whenever all controllers are closed. */
	private generation = 0;
	private isClaiming = false;
	private isRoundScheduled = false;
	/** Time before which planning would exceed its share, ms. */
	private nextRoundAt = Number.NEGATIVE_INFINITY;
	/** Time from which no other instance can have sent orders, ms. */
	private soleHolderSince = Number.NEGATIVE_INFINITY;
	/** Whether no instance held the order lease before, so that demand has to be estimated from the list of models. */
	private isFirstHolder = false;

	constructor(private readonly options: EngineSchedulerOptions) {
		this.leaseGuard = new OrderLeaseGuard(options.orderLeaseMs + leaseMarginMs);
		this.demand = new EngineDemand(() => options.clock.now());
		this.dispatcher = new MoveDispatcher({...options, storeLoadLimiter: this.storeLoadLimiter, controllerFor: id => this.controllerFor(id)});
	}

	/** Records the demand that one entry reports, and schedules a round. */
	recordReport(report: DemandReport): void {
		this.demand.recordReport(report);
		const now = this.options.clock.now();
		report.absent.forEach(id => {
			this.absentUntil.set(id, now + absenceMs);
		});
		report.suspects.forEach(id => this.controllers.get(id)?.requestSync());
		this.scheduleRound();
	}

	/** Runs one round: claims the order lease if this instance doesn't hold it in this term, otherwise starts moves. */
	async runRound(): Promise<void> {
		const {machine, clock} = this.options;
		this.leaseGuard.observe(machine.list(), clock.now());
		// Also at instances that don't lead: after an election, models that engines lost meanwhile are still known.
		this.demand.recordHeld(machine.list().flatMap(({holds}) => holds.map(({name}) => name)));
		const term = this.options.readTerm();
		if (term === undefined) {
			this.foreignStoreLoads.observe(machine.list(), clock.now());
			this.closeControllers();
			this.claimedTerm = undefined;
			return;
		}

		if (this.claimedTerm !== term) {
			await this.claimOrders(term);
			return;
		}

		this.planServices();
	}

	/** Schedules one round for a burst of reports, as soon as planning is within its share of the time again. */
	private scheduleRound(): void {
		if (this.isRoundScheduled) {
			return;
		}

		this.isRoundScheduled = true;
		void this.options.wait(Math.max(reportBatchMs, this.nextRoundAt - this.options.clock.now())).then(async () => {
			this.isRoundScheduled = false;
			await this.runRound();
		});
	}

	/** Plans for all services, unless planning has used up its share of the time. */
	private planServices(): void {
		const {machine, clock} = this.options;
		const startedAt = clock.now();
		if (startedAt < this.nextRoundAt) {
			return;
		}

		machine.configuration?.configuration.services.forEach(service => {
			this.planService(service);
		});
		const endedAt = clock.now();
		this.nextRoundAt = endedAt + Math.min(maxPlanningPauseMs, (endedAt - startedAt) * ((1 / maxPlanningShare) - 1));
	}

	/** Stops moves in progress from sending orders, even if this instance may send orders again in the same term. */
	private closeControllers(): void {
		this.controllers.clear();
		this.generation += 1;
	}

	private async claimOrders(term: number): Promise<void> {
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
		this.foreignStoreLoads.observe(machine.list(), clock.now());
		this.isFirstHolder ||= former === '';
		this.closeControllers();
		this.claimedTerm = term;
		this.soleHolderSince = former === '' ? Number.NEGATIVE_INFINITY : clock.now();
		this.leaseGuard.startClaim(clock.now(), classifyFormerHolder(former, holder));
		onEvent('orders.claimed', `in term ${term}; former holder: ${former || 'none'}`);
	}

	private planService(service: ServedService): void {
		const {engine} = service;
		if (!engine) {
			return;
		}

		const endpoints = this.options.machine.list().filter(endpoint =>
			endpoint.service === service.name && endpoint.phase === EndpointPhase.Ready && !this.isAbsent(endpoint.id));
		const pending = this.demand.listPending(service.name);
		if (this.isFirstHolder) {
			this.demand.seedExpectedDemand(engine, endpoints.length);
		}

		const round = new PlanningRound(endpoints, endpoint => this.describe(endpoint));
		const demand = this.demand.computeOutlook(engine, this.readWork(service.name));
		this.dispatcher.dispatchMoves(engine, round, demand, pending);
	}

	private readWork(service: string): MeasuredWork | undefined {
		const {workOf, speedOf} = this.options;
		const models = workOf?.(service);
		return models && {models, speedOf: id => speedOf?.(id)};
	}

	private isAbsent(id: string): boolean {
		const isAbsent = this.options.clock.now() < (this.absentUntil.get(id) ?? Number.NEGATIVE_INFINITY);
		if (!isAbsent) {
			this.absentUntil.delete(id);
		}

		return isAbsent;
	}

	private describe(endpoint: FleetEndpoint): EngineState {
		const state = this.controllerFor(endpoint.id).describe(endpoint);
		return {...state, isReady: state.isReady && this.leaseGuard.mayOrder(endpoint, this.options.clock.now())};
	}

	private controllerFor(id: string): EngineController {
		const {machine, clock, wait, port, holder, publish, onEvent} = this.options;
		const known = this.controllers.get(id);
		if (known) {
			return known;
		}

		const {claimedTerm: term, generation} = this;
		const isOpen = (): boolean => this.generation === generation;
		const controller = new EngineController({
			id,
			port,
			clock,
			wait,
			holder,
			soleHolderSince: this.soleHolderSince,
			readFence: () => (isOpen() && this.options.readTerm() === term ? term : undefined),
			readEndpoint() {
				const endpoint = machine.find(id);
				return endpoint?.phase === EndpointPhase.Ready || endpoint?.phase === EndpointPhase.Silent ? endpoint : undefined;
			},
			// A move of an earlier claim may end while moves of the current one are in progress; its record would state that none are.
			publish: async holdings => isOpen() && publish(holdings),
			readSpec: () => machine.configuration?.configuration.services.find(({name}) => name === machine.find(id)?.service)?.engine,
			onEvent,
		});
		this.controllers.set(id, controller);
		return controller;
	}
}

const classifyFormerHolder = (former: string, holder: string): FormerHolder => {
	if (former === '') {
		return FormerHolder.None;
	}

	return former === holder ? FormerHolder.Itself : FormerHolder.Other;
};
