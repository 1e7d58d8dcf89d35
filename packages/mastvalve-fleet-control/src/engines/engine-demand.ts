/**
 * What callers ask for, over all entries: rates, what waits now, and what may be asked for soon.
 */

import {
	forecastRates, DemandShiftDetector, ModelDemandEstimate, type AdapterName, type EngineSpec, type ModelPlanInput, type PendingModel,
} from 'mastvalve-fleet';
import type {DemandReport, PendingDemand} from '../demand-report.js';

/**
 * Requests a second, for each engine, that are expected of the first models of the list until the first request comes, so
 * that they find engines before anybody waits; 4 in all, which is what an engine takes in with ease. What engines
 * hold at the start tells less of what will be asked for.
 */
const expectedRates = [1.2, 0.6, 1.3, 1.4, 0.6, 0.5, 0.4, 0.3, 0.3];
/** Time to begin an answer before any was told, ms: entries begin with the same. */
const firstHeadMs = 125;
/** What an entry wants is void when it has not been repeated, ms: three reports. */
const wantedMs = 3000;

/** The demand for the models of a service at one moment; rates in requests a second, times in ms. */
export type DemandOutlook = Pick<ModelPlanInput, 'rateOf' | 'expectedRateOf' | 'observedRateOf' | 'timeToFirstByteMsOf' | 'idleMsOf' | 'urgentIdleMsOf'> & {
	/** Time since an adapter was last asked for, as `model/adapter`. */
	adapterIdleOf: (name: string) => number;
};

/** What an entry wants, with its deadline in this instance's clock, monotonic ms. */
export type KnownWanted = PendingDemand & {deadlineAt: number};

/** The demand. */
export class EngineDemand {
	private readonly all = new ModelDemandEstimate();
	/** Of callers without time for a load. */
	private readonly urgent = new ModelDemandEstimate();
	/** By `model/adapter`. */
	private readonly adapters = new ModelDemandEstimate();
	private readonly step = new DemandShiftDetector();
	/** Time to begin an answer by model and entry, ms. */
	private readonly headTimes = new Map<string, Map<string, number>>();
	/** By entry. */
	private readonly wanted = new Map<string, {at: number; items: KnownWanted[]}>();

	constructor(private readonly now: () => number) {}

	/** Hears what callers of one entry ask for. */
	hear({entry, requests, urgent, headMs, wanted}: DemandReport): void {
		const now = this.now();
		Object.entries(requests).forEach(([name, count]) => {
			this.all.record(name.split('/', 1)[0] ?? name, count, now);
			this.adapters.record(name, count, now);
		});
		Object.entries(urgent).forEach(([model, count]) => {
			this.urgent.record(model, count, now);
		});
		Object.entries(headMs).forEach(([model, ms]) => {
			const told = this.headTimes.get(model) ?? new Map<string, number>();
			this.headTimes.set(model, told.set(entry, ms));
		});
		this.wanted.set(entry, {at: now, items: wanted.map(item => ({...item, deadlineAt: now + item.remainingMs}))});
	}

	/** Before the first request, demand is expected in the order in which models are declared. */
	expectFirst(spec: EngineSpec, engines: number): void {
		if (this.all.isEmpty) {
			this.all.setExpectedRates(spec.models.map(({name}, rank) => [name, (expectedRates[rank] ?? 0) * engines]));
		}
	}

	/** The demand for the models of a service at this moment, worked out once: a round asks for it for each way to each load. */
	look(spec: EngineSpec): DemandOutlook {
		const now = this.now();
		const models = spec.models.map(({name}) => name);
		const urgent = new Map(models.map(model => [model, this.urgent.rateOf(model, now)]));
		if (!this.urgent.isEmpty) {
			this.step.observe([...urgent.values()], now);
		}

		const rates = new Map(models.map(model => [model, this.all.rateOf(model, now)]));
		const shownRates = new Map(models.map(model => [model, this.all.observedRateOf(model, now)]));
		const anticipate = (known: ReadonlyMap<string, number>): Map<string, number> => forecastRates({
			models,
			rateOf: model => known.get(model) ?? 0,
			urgentRateOf: model => urgent.get(model) ?? 0,
			isLatencyTolerant: model => this.all.hasRecorded(model) && !this.urgent.hasRecorded(model),
			shift: this.step.shift,
		});
		const headTimes = this.averageHeadTimes();
		const usualHeadMs = mean([...headTimes.values()]) ?? firstHeadMs;
		const expected = anticipate(rates);
		const shown = anticipate(shownRates);
		return {
			rateOf: model => rates.get(model) ?? 0,
			expectedRateOf: model => expected.get(model) ?? 0,
			observedRateOf: model => shown.get(model) ?? 0,
			timeToFirstByteMsOf: model => headTimes.get(model) ?? usualHeadMs,
			idleMsOf: model => this.all.idleMsOf(model, now),
			urgentIdleMsOf: model => this.urgent.idleMsOf(model, now),
			adapterIdleOf: name => this.adapters.idleMsOf(name, now),
		};
	}

	/** Entries that have reported lately. */
	countEntries(): number {
		const now = this.now();
		return [...this.wanted.values()].filter(({at}) => now - at < wantedMs).length;
	}

	/** What requests for a service wait for, the most pressing first. */
	listWanted(service: string): KnownWanted[] {
		const now = this.now();
		return [...this.wanted.values()]
			.filter(({at}) => now - at < wantedMs)
			.flatMap(({items}) => items)
			.filter(item => item.service === service && item.deadlineAt > now)
			.toSorted((a, b) => a.deadlineAt - b.deadlineAt);
	}

	/** Time in which an engine without a queue begins an answer, ms: by model, the mean over the entries that have told one. */
	private averageHeadTimes(): Map<string, number> {
		return new Map([...this.headTimes].map(([model, told]) => [model, mean([...told.values()]) ?? firstHeadMs]));
	}
}

const mean = (values: readonly number[]): number | undefined =>
	(values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length);

/** The adapters that requests wait for, each once, the most pressing first: many entries want the same one. */
export const listWantedAdapters = (wanted: readonly KnownWanted[]): AdapterName[] => {
	const byName = new Map(wanted.flatMap(({model, adapter}) => (adapter === undefined ? [] : [[`${model}/${adapter}`, {model, adapter}] as const])));
	return [...byName.values()];
};

/** How many requests wait for each model, over all entries. */
export const sumByModel = (wanted: readonly KnownWanted[]): PendingModel[] => {
	const waiting = new Map<string, number>();
	wanted.forEach(item => {
		waiting.set(item.model, (waiting.get(item.model) ?? 0) + item.waiting);
	});
	return [...waiting].map(([model, count]) => ({model, waiting: count}));
};
