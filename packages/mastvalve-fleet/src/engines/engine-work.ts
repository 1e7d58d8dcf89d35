/**
 * Work of the engines for one plan: the work of each model is shared by its holders in proportion to their speed.
 */

import type {EngineState} from './engine-state.js';
import type {WorkOutlook} from './work-outlook.js';

const listKept = ({holds, retiring}: EngineState): string[] => holds.map(({name}) => name).filter(name => name !== retiring);

/** Returns the models that an engine holds and keeps, and the one that it loads. */
const listHeld = (engine: EngineState): string[] => [...new Set([...listKept(engine), ...(engine.loading === undefined ? [] : [engine.loading])])];

const group = (engines: readonly EngineState[], list: (engine: EngineState) => string[]): Map<string, EngineState[]> => {
	const byModel = new Map<string, EngineState[]>();
	engines.forEach(engine => {
		list(engine).forEach(model => {
			const known = byModel.get(model) ?? [];
			known.push(engine);
			byModel.set(model, known);
		});
	});
	return byModel;
};

export class EngineWork {
	/** Engines that hold or load a model. */
	private readonly holders: Map<string, EngineState[]>;
	private readonly resident: Map<string, EngineState[]>;
	private readonly utilization: Map<string, number>;
	/** Speed of the holders of a model together, and the mean share of their time that they work. */
	private readonly speeds: Map<string, number>;
	private readonly meanUtilization: Map<string, number>;

	constructor(engines: readonly EngineState[], private readonly outlook: WorkOutlook) {
		this.holders = group(engines, listHeld);
		this.resident = group(engines, listKept);
		this.speeds = new Map([...this.holders].map(([model, holders]) => [model, holders.reduce((sum, engine) => sum + this.speedFor(engine, model), 0)]));
		this.utilization = new Map(engines.map(engine => [engine.id, listHeld(engine).reduce((sum, model) => sum + this.shareOf(model), 0)]));
		this.meanUtilization = new Map([...this.holders].map(([model, holders]) => [model, holders.reduce((sum, {id}) => sum + this.utilizationOf(id), 0) / holders.length]));
	}

	holdersOf(model: string): readonly EngineState[] {
		return this.holders.get(model) ?? [];
	}

	/** Counts the engines that hold a model now. */
	countResident(model: string): number {
		return this.resident.get(model)?.length ?? 0;
	}

	/** Returns the share of its time that an engine works. */
	utilizationOf(engine: string): number {
		return this.utilization.get(engine) ?? 0;
	}

	/** Returns the share of their time that the holders of a model work for it; `more` is added to their speed. */
	shareOf(model: string, more = 0): number {
		const speed = (this.speeds.get(model) ?? 0) + more;
		return speed <= 0 ? 0 : this.outlook.workOf(model) / speed;
	}

	/** Returns the mean share of their time that the holders of a model work, for all their models; 0 without holders. */
	meanUtilizationOf(model: string): number {
		return this.meanUtilization.get(model) ?? 0;
	}

	/** Returns the speed that an engine has for a model: its own, or what its limit on requests allows. */
	speedFor({id, limitPerSecond}: EngineState, model: string): number {
		const speed = this.outlook.speedOf(id);
		return limitPerSecond === undefined ? speed : Math.min(speed, limitPerSecond * this.outlook.secondsPerRequest(model));
	}
}
