/**
 * Demand for models and adapters, aggregated over all entries: request rates, pending requests and anticipated demand.
 */

import {
	forecastRates, DemandShiftDetector, ModelDemandEstimate, type AdapterName, type EngineSpec, type MeasuredWork, type ModelPlanInput, type PendingModel,
} from 'mastvalve-fleet';
import type {DemandReport, PendingDemand} from '../demand-report.js';
import {WorkDemand} from './work-demand.js';

/**
 * Requests per second and engine that are expected for the first models of the list until the first request arrives, so
 * that these models are loaded before a request has to wait. An engine serves 4 per second in all without
 * difficulty. The order of the list predicts demand better than the models that engines hold at the start.
 */
const initialRatesPerEngine = [1.2, 0.6, 1.3, 1.4, 0.6, 0.5, 0.4, 0.3, 0.3];
/** Time to first byte, assumed until an entry reports a measured one, ms; entries assume the same value. */
const defaultTimeToFirstByteMs = 125;
/** Pending demand of an entry expires when it is not reported again within this time, ms; equals three report intervals. */
const pendingDemandTtlMs = 3000;

/** Demand for the models of a service at one point in time; rates in requests per second, times in ms. */
export type DemandOutlook = Pick<ModelPlanInput, 'rateOf' | 'expectedRateOf' | 'observedRateOf' | 'timeToFirstByteMsOf' | 'idleMsOf' | 'urgentIdleMsOf' | 'byWork'> & {
	/** Time since an adapter, given as `model/adapter`, was last requested, ms. */
	adapterIdleMsOf: (name: string) => number;
};

/** Pending demand of an entry, with its deadline on this instance's monotonic clock, ms. */
export type TimedPendingDemand = PendingDemand & {deadlineAt: number};

export class EngineDemand {
	private readonly all = new ModelDemandEstimate();
	/** Requests whose deadline is too short to wait for a load. */
	private readonly urgent = new ModelDemandEstimate();
	/** Keyed by `model/adapter`. */
	private readonly adapters = new ModelDemandEstimate();
	private readonly shiftDetector = new DemandShiftDetector();
	private readonly work = new WorkDemand();
	/** Time to first byte, by model and entry, ms. */
	private readonly timesToFirstByte = new Map<string, Map<string, number>>();
	/** Keyed by entry. */
	private readonly pending = new Map<string, {at: number; items: TimedPendingDemand[]}>();

	constructor(private readonly now: () => number) {}

	/** Records the demand that one entry reports. */
	recordReport({entry, requests, urgent, headMs, wanted}: DemandReport): void {
		const now = this.now();
		Object.entries(requests).forEach(([name, count]) => {
			this.all.record(name.split('/', 1)[0] ?? name, count, now);
			this.adapters.record(name, count, now);
			this.work.record(name.split('/', 1)[0] ?? name, count, now);
		});
		Object.entries(urgent).forEach(([model, count]) => {
			this.urgent.record(model, count, now);
		});
		Object.entries(headMs).forEach(([model, ms]) => {
			const byEntry = this.timesToFirstByte.get(model) ?? new Map<string, number>();
			this.timesToFirstByte.set(model, byEntry.set(entry, ms));
		});
		this.pending.set(entry, {at: now, items: wanted.map(item => ({...item, deadlineAt: now + item.remainingMs}))});
	}

	/** Records models that engines hold. */
	recordHeld(models: readonly string[]): void {
		this.work.recordHeld(models);
	}

	/** Sets the demand expected before the first request, in the order in which models are declared. */
	seedExpectedDemand(spec: EngineSpec, engines: number): void {
		if (this.all.isEmpty) {
			this.all.setExpectedRates(spec.models.map(({name}, rank) => [name, (initialRatesPerEngine[rank] ?? 0) * engines]));
		}
	}

	/**
	 * Computes the current demand for the models of a service. Called once per round, since planning reads it for every candidate
	 * load. Moves of the service follow from `measured` work if it is given, else from rates.
	 */
	computeOutlook(spec: EngineSpec, measured?: MeasuredWork): DemandOutlook {
		const now = this.now();
		const models = spec.models.map(({name}) => name);
		const urgent = new Map(models.map(model => [model, this.urgent.rateOf(model, now)]));
		if (!this.urgent.isEmpty) {
			this.shiftDetector.observe([...urgent.values()], now);
		}

		const rates = new Map(models.map(model => [model, this.all.rateOf(model, now)]));
		const observedRates = new Map(models.map(model => [model, this.all.observedRateOf(model, now)]));
		const forecast = (known: ReadonlyMap<string, number>): Map<string, number> => forecastRates({
			models,
			rateOf: model => known.get(model) ?? 0,
			urgentRateOf: model => urgent.get(model) ?? 0,
			isLatencyTolerant: model => this.all.hasRecorded(model) && !this.urgent.hasRecorded(model),
			shift: this.shiftDetector.shift,
		});
		const timesToFirstByte = this.averageTimesToFirstByte();
		const averageTimeToFirstByteMs = mean([...timesToFirstByte.values()]) ?? defaultTimeToFirstByteMs;
		const expected = forecast(rates);
		const observed = forecast(observedRates);
		const timeToFirstByteMsOf = (model: string): number => timesToFirstByte.get(model) ?? averageTimeToFirstByteMs;
		return {
			rateOf: model => rates.get(model) ?? 0,
			expectedRateOf: model => expected.get(model) ?? 0,
			observedRateOf: model => observed.get(model) ?? 0,
			timeToFirstByteMsOf,
			byWork: measured && this.work.computeOutlook(spec, measured, timeToFirstByteMsOf, now),
			idleMsOf: model => this.all.idleMsOf(model, now),
			urgentIdleMsOf: model => this.urgent.idleMsOf(model, now),
			adapterIdleMsOf: name => this.adapters.idleMsOf(name, now),
		};
	}

	/** Lists the pending demand for a service, earliest deadline first. */
	listPending(service: string): TimedPendingDemand[] {
		const now = this.now();
		return [...this.pending.values()]
			.filter(({at}) => now - at < pendingDemandTtlMs)
			.flatMap(({items}) => items)
			.filter(item => item.service === service && item.deadlineAt > now)
			.toSorted((a, b) => a.deadlineAt - b.deadlineAt);
	}

	/** Averages the time to first byte of an idle engine over the entries that report one, by model, ms. */
	private averageTimesToFirstByte(): Map<string, number> {
		return new Map([...this.timesToFirstByte].map(([model, byEntry]) => [model, mean([...byEntry.values()]) ?? defaultTimeToFirstByteMs]));
	}
}

const mean = (values: readonly number[]): number | undefined =>
	(values.length === 0 ? undefined : values.reduce((sum, value) => sum + value, 0) / values.length);

/** Lists the adapters that requests wait for, earliest deadline first, without the duplicates that several entries report. */
export const listPendingAdapters = (pending: readonly TimedPendingDemand[]): AdapterName[] => {
	const byName = new Map(pending.flatMap(({model, adapter}) => (adapter === undefined ? [] : [[`${model}/${adapter}`, {model, adapter}] as const])));
	return [...byName.values()];
};

/** Sums the waiting requests by model over all entries, with the earliest of their deadlines; `now` in ms. */
export const countWaitingByModel = (pending: readonly TimedPendingDemand[], now: number): PendingModel[] => {
	const waiting = new Map<string, PendingModel>();
	pending.forEach(item => {
		const known = waiting.get(item.model);
		waiting.set(item.model, {
			model: item.model, waiting: (known?.waiting ?? 0) + item.waiting, remainingMs: Math.min(known?.remainingMs ?? Number.POSITIVE_INFINITY, item.deadlineAt - now),
		});
	});
	return [...waiting.values()];
};
