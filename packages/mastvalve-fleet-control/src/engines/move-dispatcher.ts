/**
 * Begins what a round of planning decides: which adapters and models engines load, and which give way.
 */

import {
	planAdapterMove, planAdapterPrefetch, planModelMove, WeightSource,
	type AdapterMove, type EngineModel, type EngineSpec, type ModelMove, type StoreLoadLimits, type StoreLoadLimiter,
} from 'mastvalve-fleet';
import type {Clock} from 'mastvalve-utils';
import {
	listWantedAdapters, sumByModel, type DemandOutlook, type KnownWanted,
} from './engine-demand.js';
import type {EngineController} from './engine-controller.js';
import type {PlanningRound} from './planning-round.js';

/** What beginning moves needs. */
export type MoveDispatcherOptions = {
	clock: Clock;
	controllerFor: (engine: string) => EngineController;
	/** Loads from the weight store, of this holder of the orders and of others. */
	storeRate: StoreLoadLimiter;
	/** Window in which loads from the store are counted, ms. */
	storeWindowMs: number;
	onEvent: (kind: string, detail: string) => void;
};

/** Moves that one round begins at the most; the rest waits for the next. */
const maxMovesPerRound = 6;
/** Adapters that one round begins to load ahead of need. */
const maxPrefetchesPerRound = 8;

/** The mover. */
export class MoveDispatcher {
	constructor(private readonly options: MoveDispatcherOptions) {}

	/** Begins what is worth it at this moment: adapters that requests wait for, adapters ahead of need, then models. */
	dispatchMoves(spec: EngineSpec, round: PlanningRound, demand: DemandOutlook, wanted: readonly KnownWanted[]): void {
		this.moveAdapters(spec, round, demand, wanted);
		this.prefetchAdapters(spec, round, demand);
		this.moveModels(spec, round, demand, wanted);
	}

	private moveAdapters(spec: EngineSpec, round: PlanningRound, demand: DemandOutlook, wanted: readonly KnownWanted[]): void {
		listWantedAdapters(wanted).forEach(({model, adapter}) => {
			const move = planAdapterMove({
				spec, engines: round.engines, model, adapter, idleMsOf: demand.adapterIdleOf,
			});
			if (move) {
				this.beginAdapter(spec, round, move);
			}
		});
	}

	/** Loads adapters into free slots before anybody waits for them. */
	private prefetchAdapters(spec: EngineSpec, round: PlanningRound, {expectedRateOf}: DemandOutlook): void {
		Array.from({length: maxPrefetchesPerRound}).some(() => {
			const move = planAdapterPrefetch({spec, engines: round.engines, expectedRateOf});
			if (move) {
				this.beginAdapter(spec, round, move);
			}

			return move === undefined;
		});
	}

	private beginAdapter(spec: EngineSpec, round: PlanningRound, move: AdapterMove): void {
		void this.options.controllerFor(move.engine).moveAdapter(move, findModel(spec, move.model)?.adapterSize ?? 0);
		round.refresh(move.engine);
	}

	private moveModels(spec: EngineSpec, round: PlanningRound, demand: DemandOutlook, wanted: readonly KnownWanted[]): void {
		Array.from({length: maxMovesPerRound}).some(() => {
			const move = this.planMove(spec, round, demand, wanted);
			if (move) {
				this.begin(spec, move, demand.rateOf(move.load));
				round.refresh(move.engine);
			}

			return move === undefined;
		});
	}

	private planMove(spec: EngineSpec, {engines}: PlanningRound, demand: DemandOutlook, wanted: readonly KnownWanted[]): ModelMove | undefined {
		return planModelMove({
			...demand,
			spec,
			engines,
			pending: sumByModel(wanted),
			residencyMsOf: (id, model) => this.options.controllerFor(id).heldFor(model),
			availableStoreLoads: this.options.storeRate.countAvailable(this.storeBounds(spec), this.options.clock.now()),
		});
	}

	private begin(spec: EngineSpec, move: ModelMove, rate: number): void {
		const model = findModel(spec, move.load);
		const expected: Record<WeightSource, number> = {
			[WeightSource.Memory]: model?.memoryLoadMs ?? 0, [WeightSource.Disk]: model?.diskLoadMs ?? 0, [WeightSource.Store]: model?.storeLoadMs ?? 0,
		};
		const noteBegin = move.source === WeightSource.Store ? this.options.storeRate.reserve() : undefined;

		this.options.onEvent('engine.moves', `${move.engine} loads ${move.load} from ${move.source}${move.evict === undefined ? '' : ` in place of ${move.evict}`}; ${rate.toFixed(2)} requests/s`);
		void this.options.controllerFor(move.engine).moveModel(move, expected[move.source], () => {
			noteBegin?.(this.options.clock.now());
		});
	}

	private storeBounds(spec: EngineSpec): StoreLoadLimits {
		return {windowMs: this.options.storeWindowMs, loadsPerSecond: spec.storeLoadsPerSecond};
	}
}

const findModel = (spec: EngineSpec, name: string): EngineModel | undefined => spec.models.find(model => model.name === name);
