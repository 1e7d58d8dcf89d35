/**
 * Demand and work of the services whose work is measured: what callers ask, how demand has moved, and what requests take.
 */

import {
	computeEngineTime, isMixed, LearnedDemand, WorkPerRequest, type EngineSpec, type MeasuredWork, type ModelWork, type WorkOutlook,
} from 'mastvalve-fleet';

const msPerSecond = 1000;
/** Longest time between two measurements for which the work of the second one stands, ms. */
const maxSpanMs = 2000;
/** Bounds of an engine's speed: what lies outside is an error of measurement. */
const minSpeed = 0.2;
const maxSpeed = 5;

export class WorkDemand {
	private readonly demand = new LearnedDemand();
	private readonly perRequest = new WorkPerRequest();
	/** Requests since the work was last measured, by model. */
	private readonly requests = new Map<string, number>();
	/** Models that some engine held. */
	private readonly held = new Set<string>();
	private measuredAt: number | undefined;

	/** Adds requests for a model, served or not; `now` in ms. */
	record(model: string, requests: number, now: number): void {
		this.demand.record(model, requests, now);
		this.requests.set(model, (this.requests.get(model) ?? 0) + requests);
	}

	/** Records models that engines hold. */
	recordHeld(models: readonly string[]): void {
		models.forEach(model => {
			this.held.add(model);
		});
	}

	/** Learns from the measured work and computes the outlook. `usualRequestMs` is the time of a request whose work was never measured. */
	computeOutlook(spec: EngineSpec, {models, speedOf}: MeasuredWork, usualRequestMs: (model: string) => number, now: number): WorkOutlook {
		const measured = new Map(models.map(work => [work.model, work]));
		this.learnWork(spec, models, now);
		const secondsPerRequest = memoize(model => this.perRequest.secondsOf(model) ?? usualRequestMs(model) / msPerSecond);
		spec.models.forEach(({name}) => {
			this.demand.recordMeasuredRate(name, timeOf(measured.get(name), spec) / secondsPerRequest(name), now);
		});
		this.demand.observe(spec.models.map(({name}) => name), now);
		const rateOf = memoize(model => this.demand.rateOf(model, now));
		const horizonMs = this.demand.meanStayMs;
		return {
			rateOf,
			longRateOf: memoize(model => this.demand.longRateOf(model, now)),
			usualRateOf: memoize(model => this.demand.usualRateOf(model)),
			isBusy: model => this.demand.isBusy(model),
			wasHeld: model => this.held.has(model),
			returnProbability: memoize(model => this.demand.returnProbability(model, horizonMs, now)),
			remainingSecondsOf: model => this.demand.remainingMs(model, now) / msPerSecond,
			horizonSeconds: horizonMs / msPerSecond,
			secondsPerRequest,
			workOf: memoize(model => this.estimateWork(model, rateOf(model) * secondsPerRequest(model), timeOf(measured.get(model), spec))),
			isMixed: memoize(model => isMixed(measured.get(model) ?? {model, readMsPerSecond: 0, answersInProgress: 0})),
			speedOf: memoize(engine => toSpeed(speedOf(engine))),
		};
	}

	/** Returns the larger of expected and measured work; before anything was learned of requests, what was measured says more than an assumed time of theirs. */
	private estimateWork(model: string, expected: number, measured: number): number {
		return measured > 0 && this.perRequest.secondsOf(model) === undefined ? measured : Math.max(expected, measured);
	}

	/** Learns what a request takes from the requests and the work since the last call. */
	private learnWork(spec: EngineSpec, models: readonly ModelWork[], now: number): void {
		const spanMs = now - (this.measuredAt ?? Number.NEGATIVE_INFINITY);
		this.measuredAt = now;
		if (spanMs < maxSpanMs) {
			models.forEach(work => {
				this.perRequest.record(work.model, this.requests.get(work.model) ?? 0, computeEngineTime(work, spec.slots) * spanMs / msPerSecond, spanMs);
			});
		}

		this.requests.clear();
	}
}

/** Computes each value once: a plan asks for it for each load option of each load. */
const memoize = <T>(compute: (name: string) => T): ((name: string) => T) => {
	const known = new Map<string, T>();
	return name => {
		const value = known.get(name) ?? compute(name);
		known.set(name, value);
		return value;
	};
};

const timeOf = (work: ModelWork | undefined, {slots}: EngineSpec): number => (work === undefined ? 0 : computeEngineTime(work, slots));

const toSpeed = (measured: number | undefined): number =>
	(measured === undefined || !Number.isFinite(measured) || measured <= 0 ? 1 : Math.min(maxSpeed, Math.max(minSpeed, measured)));
