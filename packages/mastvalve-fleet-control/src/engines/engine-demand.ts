/**
 * What callers ask for, over all entries: rates, what waits now, and what may be asked for soon.
 */

import {
	anticipateRates, DemandStep, ModelDemandEstimate, type EngineSpec, type WantedModel,
} from 'mastvalve-fleet';
import type {DemandReport, Wanted} from '../demand-report.js';

/**
 * Requests a second, for each engine, that are expected of the first models of the list until the first request comes, so
 * that they find engines before anybody waits; 4 in all, which is what an engine takes in with ease. Taking it from what
 * engines hold instead lost 0.04 of what requests are worth (nine busy days with each, side by side).
 */
const expectedRates = [1.2, 0.6, 1.3, 1.4, 0.6, 0.5, 0.4, 0.3, 0.3];
/** Time to begin an answer before any was told, ms: entries begin with the same. */
const firstHeadMs = 125;
/** What an entry wants is void when it has not been repeated, ms: three reports. */
const wantedMs = 3000;

/** What an entry wants, with its deadline in this instance's clock, monotonic ms. */
export type KnownWanted = Wanted & {deadlineAt: number};

/** The demand. */
export class EngineDemand {
	private readonly all = new ModelDemandEstimate();
	/** Of callers without time for a load. */
	private readonly urgent = new ModelDemandEstimate();
	/** By `model/adapter`. */
	private readonly adapters = new ModelDemandEstimate();
	private readonly step = new DemandStep();
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
			this.headTimes.set(model, new Map(this.headTimes.get(model)).set(entry, ms));
		});
		this.wanted.set(entry, {at: now, items: wanted.map(item => ({...item, deadlineAt: now + item.remainingMs}))});
	}

	/** Before the first request, demand is expected in the order in which models are declared. */
	expectFirst(spec: EngineSpec, engines: number): void {
		if (this.all.isEmpty) {
			this.all.expect(spec.models.map(({name}, rank) => [name, (expectedRates[rank] ?? 0) * engines]));
		}
	}

	/** Time in which an engine without a queue begins an answer with a model, ms: the mean over entries, or over other models. */
	headMsOf(model: string): number {
		const told = [...this.headTimes.get(model)?.values() ?? []];
		const all = told.length > 0 ? told : [...this.headTimes.values()].flatMap(times => [...times.values()]);
		return all.length === 0 ? firstHeadMs : all.reduce((sum, ms) => sum + ms, 0) / all.length;
	}

	/** Requests a second. */
	rateOf(model: string): number {
		return this.all.rateOf(model, this.now());
	}

	/** Time since a model was last asked for, ms. */
	idleOf(model: string): number {
		return this.all.idleOf(model, this.now());
	}

	/** Time since a model was last asked for by a caller without time for a load, ms. */
	urgentIdleOf(model: string): number {
		return this.urgent.idleOf(model, this.now());
	}

	/** Time since an adapter was last asked for, as `model/adapter`, ms. */
	adapterIdleOf(name: string): number {
		return this.adapters.idleOf(name, this.now());
	}

	/** Demand that may come soon, by model, requests/s. */
	anticipate(spec: EngineSpec): Map<string, number> {
		const now = this.now();
		const models = spec.models.map(({name}) => name);
		const urgentRateOf = (model: string): number => this.urgent.rateOf(model, now);
		if (!this.urgent.isEmpty) {
			this.step.observe(models.map(model => urgentRateOf(model)), now);
		}

		return anticipateRates({
			models, rateOf: model => this.all.rateOf(model, now), urgentRateOf, isPatient: model => this.all.knows(model) && !this.urgent.knows(model), step: this.step.step,
		});
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
}

/** How many requests wait for each model, over all entries. */
export const sumByModel = (wanted: readonly KnownWanted[]): WantedModel[] => {
	const waiting = new Map<string, number>();
	wanted.forEach(item => {
		waiting.set(item.model, (waiting.get(item.model) ?? 0) + item.waiting);
	});
	return [...waiting].map(([model, count]) => ({model, waiting: count}));
};
