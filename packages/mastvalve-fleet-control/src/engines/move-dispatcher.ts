/**
 * Starts the moves that a planning round decides on: which adapters and models engines load, and which they evict.
 */

import {
	planAdapterMove, planAdapterPrefetch, planModelMove, WeightSource,
	type AdapterMove, type EngineModel, type EngineSpec, type ModelMove, type StoreLoadLimits, type StoreLoadLimiter,
} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import {
	listPendingAdapters, countWaitingByModel, type DemandOutlook, type TimedPendingDemand,
} from './engine-demand.js';
import type {EngineController} from './engine-controller.js';
import type {PlanningRound} from './planning-round.js';

export type MoveDispatcherOptions = {
	clock: Clock;
	controllerFor: (engine: string) => EngineController;
	/** Rate of loads from the weight store, by this holder of the order lease and by others. */
	storeLoadLimiter: StoreLoadLimiter;
	/** Window in which loads from the store are counted, ms. */
	storeWindowMs: number;
	onEvent: (kind: string, detail: string) => void;
};

/** Maximum number of model moves that one round starts; the rest waits for the next round. */
const maxMovesPerRound = 6;
/** Maximum number of adapters that one round prefetches. */
const maxPrefetchesPerRound = 8;

export class MoveDispatcher {
	constructor(private readonly options: MoveDispatcherOptions) {}

	/** Starts the worthwhile moves: first adapters that requests wait for, then adapters to prefetch, then models. */
	dispatchMoves(spec: EngineSpec, round: PlanningRound, demand: DemandOutlook, pending: readonly TimedPendingDemand[]): void {
		this.moveAdapters(spec, round, demand, pending);
		this.prefetchAdapters(spec, round, demand);
		this.moveModels(spec, round, demand, pending);
	}

	private moveAdapters(spec: EngineSpec, round: PlanningRound, demand: DemandOutlook, pending: readonly TimedPendingDemand[]): void {
		listPendingAdapters(pending).forEach(({model, adapter}) => {
			const move = planAdapterMove({
				spec, engines: round.engines, model, adapter, idleMsOf: demand.adapterIdleMsOf,
			});
			if (move) {
				this.startAdapterMove(spec, round, move);
			}
		});
	}

	/** Loads adapters into free slots before requests wait for them. */
	private prefetchAdapters(spec: EngineSpec, round: PlanningRound, {expectedRateOf}: DemandOutlook): void {
		Array.from({length: maxPrefetchesPerRound}).some(() => {
			const move = planAdapterPrefetch({spec, engines: round.engines, expectedRateOf});
			if (move) {
				this.startAdapterMove(spec, round, move);
			}

			return move === undefined;
		});
	}

	private startAdapterMove(spec: EngineSpec, round: PlanningRound, move: AdapterMove): void {
		void this.options.controllerFor(move.engine).moveAdapter(move, findModel(spec, move.model)?.adapterSize ?? 0);
		round.refresh(move.engine);
	}

	private moveModels(spec: EngineSpec, round: PlanningRound, demand: DemandOutlook, pending: readonly TimedPendingDemand[]): void {
		Array.from({length: maxMovesPerRound}).some(() => {
			const move = this.planNextMove(spec, round, demand, pending);
			if (move) {
				this.startModelMove(spec, move, demand.rateOf(move.load));
				round.refresh(move.engine);
			}

			return move === undefined;
		});
	}

	private planNextMove(spec: EngineSpec, {engines}: PlanningRound, demand: DemandOutlook, pending: readonly TimedPendingDemand[]): ModelMove | undefined {
		return planModelMove({
			...demand,
			spec,
			engines,
			pending: countWaitingByModel(pending, this.options.clock.now()),
			residencyMsOf: (id, model) => this.options.controllerFor(id).residencyMsOf(model),
			availableStoreLoads: this.options.storeLoadLimiter.countAvailable(this.storeLoadLimits(spec), this.options.clock.now()),
		});
	}

	private startModelMove(spec: EngineSpec, move: ModelMove, rate: number): void {
		const model = findModel(spec, move.load);
		const expected: Record<WeightSource, number> = {
			[WeightSource.Memory]: model?.memoryLoadMs ?? 0, [WeightSource.Disk]: model?.diskLoadMs ?? 0, [WeightSource.Store]: model?.storeLoadMs ?? 0,
		};
		const recordBegun = move.source === WeightSource.Store ? this.options.storeLoadLimiter.reserve() : undefined;

		this.options.onEvent('engine.moves', `${move.engine} loads ${move.load} from ${move.source}${move.evict === undefined ? '' : ` in place of ${move.evict}`}; ${rate.toFixed(2)} requests/s`);
		void this.options.controllerFor(move.engine).moveModel(move, expected[move.source], () => {
			recordBegun?.(this.options.clock.now());
		});
	}

	private storeLoadLimits(spec: EngineSpec): StoreLoadLimits {
		return {windowMs: this.options.storeWindowMs, loadsPerSecond: spec.storeLoadsPerSecond};
	}
}

const findModel = (spec: EngineSpec, name: string): EngineModel | undefined => spec.models.find(model => model.name === name);
