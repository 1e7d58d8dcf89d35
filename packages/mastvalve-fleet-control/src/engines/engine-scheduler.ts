/**
 * The leader's duty towards engines: brings models and adapters to where requests want them.
 *
 * Only the instance whose claim is committed gives orders. Another one waits after its claim until the former can't
 * order any more, so engines never see two holders by turns.
 */

import {
	EndpointPhase, StoreLoadLimiter, type EngineState, type FleetEndpoint, type FleetMachine, type Holdings, type ServedService,
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

/** What directing needs. */
export type EngineSchedulerOptions = {
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
/**
 * An engine at whose address nobody listened is planned without for this long after the last such report, ms: about the time
 * in which its missing heartbeats show.
 */
const absentMs = 4000;
/** Reports of this time are answered by one round, ms. */
const gatherMs = 10;
/**
 * Part of its time that an instance may spend on planning: heartbeats and acknowledgements pass through the same process, and
 * each report of an entry asks for a round.
 */
const planningShare = 0.1;
/** A round that took long because the process stood still keeps the next one waiting for this at most, ms: less than a load takes. */
const maxPlanningPauseMs = 500;

/** The director. */
export class EngineScheduler {
	private readonly demand: EngineDemand;
	private readonly mover: MoveDispatcher;
	/** Until when an engine at whose address nobody listened is planned without, ms. */
	private readonly absentUntil = new Map<string, number>();
	private readonly desks = new Map<string, EngineController>();
	private readonly storeRate = new StoreLoadLimiter();
	private readonly storeLoads = new ForeignStoreLoads(this.storeRate);
	private claimedTerm: number | undefined;
	private readonly turns: OrderLeaseGuard;
	/** Rises whenever all desks are closed. */
	private generation = 0;
	private isClaiming = false;
	private isRoundDue = false;
	/** Until when planning has had its share of the time, ms. */
	private nextRoundAt = Number.NEGATIVE_INFINITY;
	/** When this instance became the holder of the orders, ms. */
	private soleHolderSince = Number.NEGATIVE_INFINITY;
	/** Whether nobody gave orders before, so that the list of models is at its beginning. */
	private isFirstHolder = false;

	constructor(private readonly options: EngineSchedulerOptions) {
		this.turns = new OrderLeaseGuard(options.orderLeaseMs + leaseReserveMs);
		this.demand = new EngineDemand(() => options.clock.now());
		this.mover = new MoveDispatcher({...options, storeRate: this.storeRate, controllerFor: id => this.deskOf(id)});
	}

	/** Hears what callers of one entry ask for. */
	recordReport(report: DemandReport): void {
		this.demand.hear(report);
		const now = this.options.clock.now();
		report.absent.forEach(id => {
			this.absentUntil.set(id, now + absentMs);
		});
		report.suspects.forEach(id => this.desks.get(id)?.requestSync());
		this.runSoon();
	}

	/** Entries that have reported lately. */
	countActiveEntries(): number {
		return this.demand.countEntries();
	}

	/** One round: claims the orders if need be, then begins moves. */
	async runRound(): Promise<void> {
		const {machine, clock} = this.options;
		this.turns.observe(machine.list(), clock.now());
		const term = this.options.readTerm();
		if (term === undefined) {
			this.storeLoads.observe(machine.list(), clock.now());
			this.closeDesks();
			this.claimedTerm = undefined;
			return;
		}

		if (this.claimedTerm !== term) {
			await this.takeClaim(term);
			return;
		}

		this.directServices();
	}

	/** Reports come in bursts; one round answers all of a moment, as soon as planning has a share of the time again. */
	private runSoon(): void {
		if (this.isRoundDue) {
			return;
		}

		this.isRoundDue = true;
		void this.options.wait(Math.max(gatherMs, this.nextRoundAt - this.options.clock.now())).then(async () => {
			this.isRoundDue = false;
			await this.runRound();
		});
	}

	/** Plans for all services, unless planning has had its share of the time. */
	private directServices(): void {
		const {machine, clock} = this.options;
		const startedAt = clock.now();
		if (startedAt < this.nextRoundAt) {
			return;
		}

		machine.configuration?.configuration.services.forEach(service => {
			this.directService(service);
		});
		const endedAt = clock.now();
		this.nextRoundAt = endedAt + Math.min(maxPlanningPauseMs, (endedAt - startedAt) * ((1 / planningShare) - 1));
	}

	/** Moves in progress give no more orders, also when this instance may order again in the same term. */
	private closeDesks(): void {
		this.desks.clear();
		this.generation += 1;
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
		this.closeDesks();
		this.claimedTerm = term;
		this.soleHolderSince = former === '' ? Number.NEGATIVE_INFINITY : clock.now();
		this.turns.startClaim(clock.now(), classifyFormer(former, holder));
		onEvent('orders.claimed', `in term ${term} after ${former || 'nobody'}`);
	}

	private directService(service: ServedService): void {
		const {engine} = service;
		if (!engine) {
			return;
		}

		const endpoints = this.options.machine.list().filter(endpoint =>
			endpoint.service === service.name && endpoint.phase === EndpointPhase.Ready && !this.isAbsent(endpoint.id));
		const wanted = this.demand.listWanted(service.name);
		if (this.isFirstHolder) {
			this.demand.expectFirst(engine, endpoints.length);
		}

		const round = new PlanningRound(endpoints, endpoint => this.describe(endpoint));
		const demand = this.demand.look(engine);
		this.mover.dispatchMoves(engine, round, demand, wanted);
	}

	private isAbsent(id: string): boolean {
		const isAbsent = this.options.clock.now() < (this.absentUntil.get(id) ?? Number.NEGATIVE_INFINITY);
		if (!isAbsent) {
			this.absentUntil.delete(id);
		}

		return isAbsent;
	}

	private describe(endpoint: FleetEndpoint): EngineState {
		const state = this.deskOf(endpoint.id).describe(endpoint);
		return {...state, isReady: state.isReady && this.turns.mayOrder(endpoint, this.options.clock.now())};
	}

	private deskOf(id: string): EngineController {
		const {machine, clock, wait, port, holder, publish, onEvent} = this.options;
		const known = this.desks.get(id);
		if (known) {
			return known;
		}

		const {claimedTerm: term, generation} = this;
		const isOpen = (): boolean => this.generation === generation;
		const desk = new EngineController({
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
			// A move of before may end while the next holder's are under way; its record would say that nothing is.
			publish: async holdings => isOpen() && publish(holdings),
			readSpec: () => machine.configuration?.configuration.services.find(({name}) => name === machine.find(id)?.service)?.engine,
			onEvent,
		});
		this.desks.set(id, desk);
		return desk;
	}
}

const classifyFormer = (former: string, holder: string): FormerHolder => {
	if (former === '') {
		return FormerHolder.None;
	}

	return former === holder ? FormerHolder.Itself : FormerHolder.Other;
};
