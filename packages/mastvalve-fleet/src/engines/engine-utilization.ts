/**
 * Engine utilization for one plan: which engines hold which model, and the share of its time that an engine spends on
 * reading prompts. Computed once per plan, since a plan needs it for each load option of each load.
 */

import type {EngineState} from './engine-state.js';

/** Input of the computation. */
export type EngineUtilizationInput = {
	engines: readonly EngineState[];
	/** Requests per second. */
	rateOf: (model: string) => number;
	/** Time to first byte of an engine with an empty queue, ms: mostly the reading of the prompt. */
	timeToFirstByteMsOf: (model: string) => number;
};

/** Below this share of an engine's time, a model gets no additional engine because of other models on that engine. */
const minOwnShare = 0.1;
const msPerSecond = 1000;

const countBy = (models: readonly string[]): Map<string, number> =>
	models.reduce((counts, model) => counts.set(model, (counts.get(model) ?? 0) + 1), new Map<string, number>());

const sumBy = (amounts: ReadonlyArray<{name: string; amount: number}>): Map<string, number> =>
	amounts.reduce((sums, {name, amount}) => sums.set(name, (sums.get(name) ?? 0) + amount), new Map<string, number>());

/** Returns the models that an engine holds and keeps, and the one that it loads. */
const listHeld = ({holds, retiring, loading}: EngineState): string[] => {
	const kept = holds.map(({name}) => name).filter(name => name !== retiring);
	return loading === undefined || holds.some(({name}) => name === loading) ? kept : [...kept, loading];
};

export class EngineUtilization {
	/** Number of engines that hold a model, by model. */
	private readonly residentCounts: Map<string, number>;
	/** The same, including engines that load the model. */
	private readonly holderCounts: Map<string, number>;
	/** Capacity of the holders for the model, in whole engines. */
	private readonly capacities: Map<string, number>;
	/** Models that an engine without a limit holds or loads. */
	private readonly unlimited: ReadonlySet<string>;
	private readonly utilization: Map<string, number>;
	/** Mean utilization of the engines that hold a model, by model. */
	private readonly utilizationByModel: Map<string, number>;

	constructor(private readonly input: EngineUtilizationInput) {
		const {engines} = input;
		const held = engines.flatMap(({holds, retiring}) => holds.map(({name}) => name).filter(name => name !== retiring));
		this.residentCounts = countBy(held);
		this.holderCounts = countBy(engines.flatMap(engine => listHeld(engine)));
		const holdings = engines.flatMap(engine => listHeld(engine).map(name => ({name, limitPerSecond: engine.limitPerSecond})));
		this.capacities = sumBy(holdings.map(({name, limitPerSecond}) => ({name, amount: this.shareOfLimit(name, limitPerSecond)})));
		this.unlimited = new Set(holdings.filter(({limitPerSecond}) => limitPerSecond === undefined).map(({name}) => name));
		this.utilization = new Map(engines.map(engine => [engine.id, this.sumShares(engine)]));
		this.utilizationByModel = this.averageByModel();
	}

	/** Counts the engines that hold or load a model. */
	countHolders(model: string): number {
		return this.holderCounts.get(model) ?? 0;
	}

	/** Counts the engines that hold a model now; an engine that still loads it serves no requests for it yet. */
	countResident(model: string): number {
		return this.residentCounts.get(model) ?? 0;
	}

	/** Whether an engine without a limit holds or loads a model. */
	hasUnlimitedHolder(model: string): boolean {
		return this.unlimited.has(model);
	}

	/** Returns the share of its time that an engine spends on all requests. */
	utilizationOf(engine: EngineState): number {
		return this.utilization.get(engine.id) ?? 0;
	}

	/**
	 * Returns the share of their time that the engines of a model spend on its requests, or on all requests if that is more and
	 * the model's own share is at least `minOwnShare`.
	 */
	utilizationOfHolders(model: string, rate: number): number {
		const own = this.shareOf(model, rate);
		if (own < minOwnShare) {
			return own;
		}

		return Math.max(own, this.utilizationByModel.get(model) ?? 0);
	}

	/** Takes one pass over all engines: a search for the holders of each model makes planning quadratic in the number of models. */
	private averageByModel(): Map<string, number> {
		const sums = new Map<string, {used: number; engines: number}>();
		this.input.engines.forEach(engine => {
			engine.holds.forEach(({name}) => {
				const {used, engines} = sums.get(name) ?? {used: 0, engines: 0};
				sums.set(name, {used: used + this.utilizationOf(engine), engines: engines + 1});
			});
		});
		return new Map([...sums].map(([model, {used, engines}]) => [model, used / engines]));
	}

	/** Returns the share of its time that an engine spends on the requests for one of its models. */
	private shareOf(model: string, rate: number): number {
		return rate * this.input.timeToFirstByteMsOf(model) / msPerSecond / (this.capacities.get(model) ?? 1);
	}

	/** Returns the share of its time that an engine has for a model: all of it, or what its limit allows. */
	private shareOfLimit(model: string, limitPerSecond: number | undefined): number {
		return limitPerSecond === undefined ? 1 : Math.min(1, limitPerSecond * this.input.timeToFirstByteMsOf(model) / msPerSecond);
	}

	private sumShares({holds, retiring}: EngineState): number {
		return holds
			.filter(({name}) => name !== retiring)
			.reduce((sum, {name}) => sum + this.shareOf(name, this.input.rateOf(name)), 0);
	}
}
