/**
 * How much engines are used, for one plan: who holds which model, and which part of its time an engine spends on reading
 * prompts. Everything is worked out once for a plan, since a plan asks for it for each way to each load.
 */

import type {EngineState} from './engine-state.js';

/** What it is worked out from. */
export type EngineUtilizationInput = {
	engines: readonly EngineState[];
	/** Requests a second. */
	rateOf: (model: string) => number;
	/** Time in which an engine without a queue begins an answer with a model, ms: mostly the reading of the prompt. */
	timeToFirstByteMsOf: (model: string) => number;
};

/** A model that takes less of an engine's time than this doesn't get another engine because of the others there. */
const minOwnShare = 0.1;
const msPerSecond = 1000;

const countBy = (models: readonly string[]): Map<string, number> =>
	models.reduce((counts, model) => counts.set(model, (counts.get(model) ?? 0) + 1), new Map<string, number>());

const sumBy = (amounts: ReadonlyArray<{name: string; amount: number}>): Map<string, number> =>
	amounts.reduce((sums, {name, amount}) => sums.set(name, (sums.get(name) ?? 0) + amount), new Map<string, number>());

/** Models that an engine holds and keeps, and the one that is on its way there. */
const listHeld = ({holds, retiring, loading}: EngineState): string[] => {
	const kept = holds.map(({name}) => name).filter(name => name !== retiring);
	return loading === undefined || holds.some(({name}) => name === loading) ? kept : [...kept, loading];
};

/** The use of all engines. */
export class EngineUtilization {
	/** Engines that hold a model, by model. */
	private readonly present: Map<string, number>;
	/** The same with those to which it is on its way. */
	private readonly holders: Map<string, number>;
	/** What those can take of the model, in whole engines. */
	private readonly capacities: Map<string, number>;
	/** Models that some engine without a limit holds, or is about to. */
	private readonly open: ReadonlySet<string>;
	private readonly used: Map<string, number>;
	/** Mean of that over the engines that hold a model, by model. */
	private readonly usedByHolders: Map<string, number>;

	constructor(private readonly input: EngineUtilizationInput) {
		const {engines} = input;
		const held = engines.flatMap(({holds, retiring}) => holds.map(({name}) => name).filter(name => name !== retiring));
		this.present = countBy(held);
		this.holders = countBy(engines.flatMap(engine => listHeld(engine)));
		const holdings = engines.flatMap(engine => listHeld(engine).map(name => ({name, limitPerSecond: engine.limitPerSecond})));
		this.capacities = sumBy(holdings.map(({name, limitPerSecond}) => ({name, amount: this.shareOfLimit(name, limitPerSecond)})));
		this.open = new Set(holdings.filter(({limitPerSecond}) => limitPerSecond === undefined).map(({name}) => name));
		this.used = new Map(engines.map(engine => [engine.id, this.sumShares(engine)]));
		this.usedByHolders = this.averageByModel();
	}

	/** How many engines hold a model, or are about to. */
	countHolders(model: string): number {
		return this.holders.get(model) ?? 0;
	}

	/** How many engines hold a model now; one that is on its way serves nobody yet. */
	countResident(model: string): number {
		return this.present.get(model) ?? 0;
	}

	/** Whether requests for a model find an engine that takes as many as it has time for, or will soon. */
	hasUnlimitedHolder(model: string): boolean {
		return this.open.has(model);
	}

	/** Part of its time that an engine spends on all requests. */
	utilizationOf(engine: EngineState): number {
		return this.used.get(engine.id) ?? 0;
	}

	/** How much of their time the engines of a model spend: on its own requests, and on those of the models beside it if it has a part in that. */
	utilizationOfHolders(model: string, rate: number): number {
		const own = this.shareOf(model, rate);
		if (own < minOwnShare) {
			return own;
		}

		return Math.max(own, this.usedByHolders.get(model) ?? 0);
	}

	/** One pass over all engines: looking for the holders of each model anew makes rounds grow with the square of the models. */
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

	/** Part of its time that an engine spends on the requests of one of the models that it holds. */
	private shareOf(model: string, rate: number): number {
		return rate * this.input.timeToFirstByteMsOf(model) / msPerSecond / (this.capacities.get(model) ?? 1);
	}

	/** The part of its time that an engine gives to a model: all of it, or what its limit comes to. */
	private shareOfLimit(model: string, limitPerSecond: number | undefined): number {
		return limitPerSecond === undefined ? 1 : Math.min(1, limitPerSecond * this.input.timeToFirstByteMsOf(model) / msPerSecond);
	}

	private sumShares({holds, retiring}: EngineState): number {
		return holds
			.filter(({name}) => name !== retiring)
			.reduce((sum, {name}) => sum + this.shareOf(name, this.input.rateOf(name)), 0);
	}
}
