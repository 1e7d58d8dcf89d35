/**
 * Estimates demand from what callers ask, served or not, and from how it moved before. Doesn't use the order of the models.
 *
 * Answers demand that moves among a set of models: the ones that were busy before are likely to be busy again, whatever
 * their places in the list.
 */

import {DemandStays} from './demand-stays.js';
import {RequestRate} from './request-rate.js';

/** A model is busy from the mean rate of all models on, and until it falls below this part of it. */
const leaveShare = 0.35;
/** Lowest rate of a busy model, requests/s. */
const minBusyRate = 0.5;
/** Time for which a model has to be busy before it counts as one that may return, ms. */
const confirmationMs = 1000;
/** Part of the mean stay after which requests count for a third, and its bounds, ms. */
const decayShare = 1 / 6;
const minDecayMs = 600;
const maxDecayMs = 3000;
/** Time after its first request for which a model isn't known to be rare, ms. */
const undecidedMs = 2000;

type ModelState = {
	rate: RequestRate;
	/** When it was first asked for, ms. */
	firstAt: number;
	/** Rate that follows from measured work, requests/s. */
	measuredRate: number;
	busySince: number | undefined;
	/** Rates seen in the current busy period, requests/s. */
	seen: {sum: number; count: number};
	/** Usual rate when busy, requests/s: the mean of the last busy period; 0 for a model that was never busy. */
	usualRate: number;
};

/** Times are monotonic, ms. */
export class LearnedDemand {
	private readonly stays = new DemandStays();
	private readonly models = new Map<string, ModelState>();
	private observedAt: number | undefined;
	/** Mean of the usual rates of all models that were busy, requests/s. */
	private meanUsualRate = 0;

	/** Mean time for which a model is busy, ms. */
	get meanStayMs(): number {
		return this.stays.meanStayMs;
	}

	/** Adds requests for a model. */
	record(model: string, requests: number, now: number): void {
		this.stateOf(model, now).rate.record(requests, now, this.decayMs);
	}

	/** Records the rate that follows from measured work, requests/s: the leader knows it sooner than entries report their requests. */
	recordMeasuredRate(model: string, rate: number, now: number): void {
		if (rate > 0 || this.models.has(model)) {
			this.stateOf(model, now).measuredRate = rate;
		}
	}

	/** Learns which models have become busy and which no longer are; called once a planning round. */
	observe(models: readonly string[], now: number): void {
		const rates = models.map(model => ({model, rate: this.rateOf(model, now)}));
		const mean = rates.reduce((sum, {rate}) => sum + rate, 0) / Math.max(1, rates.length);
		this.recordTime(now);
		rates.forEach(({model, rate}) => {
			const state = this.models.get(model);
			if (state) {
				this.observeModel(state, rate, Math.max(minBusyRate, mean), now);
			}
		});
		const usualRates = [...this.models.values()].map(({usualRate}) => usualRate).filter(rate => rate > 0);
		this.meanUsualRate = usualRates.reduce((sum, rate) => sum + rate, 0) / Math.max(1, usualRates.length);
	}

	/** Returns requests per second. */
	rateOf(model: string, now: number): number {
		const state = this.models.get(model);
		return state ? Math.max(state.measuredRate, state.rate.at(now, this.decayMs, state.usualRate)) : 0;
	}

	/** Returns requests per second over a long time. */
	longRateOf(model: string, now: number): number {
		return this.models.get(model)?.rate.longRateAt(now) ?? 0;
	}

	/** Returns the usual rate of a model when it is busy, requests/s: the mean of others for a model that was never busy. */
	usualRateOf(model: string): number {
		const state = this.models.get(model);
		return state === undefined || state.usualRate === 0 ? this.meanUsualRate : state.usualRate;
	}

	isBusy(model: string): boolean {
		return this.models.get(model)?.busySince !== undefined;
	}

	/**
	 * Returns the probability that a model which isn't busy will be within `horizonMs`; 0 if it was asked for and never busy. Rare
	 * requests show within seconds, so a model without any is rather one whose time is still to come.
	 */
	returnProbability(model: string, horizonMs: number, now: number): number {
		const state = this.models.get(model);
		const isRare = state?.usualRate === 0 && now - state.firstAt >= undecidedMs;
		return isRare || state?.busySince !== undefined ? 0 : this.stays.returnProbability(horizonMs);
	}

	/** Returns for how long demand for a busy model is expected to stay, ms. */
	remainingMs(model: string, now: number): number {
		return this.stays.remainingMs(now - (this.models.get(model)?.busySince ?? now));
	}

	private stateOf(model: string, now: number): ModelState {
		const state = this.models.get(model) ?? {
			rate: new RequestRate(), firstAt: now, measuredRate: 0, busySince: undefined, seen: {sum: 0, count: 0}, usualRate: 0,
		};
		this.models.set(model, state);
		return state;
	}

	private get decayMs(): number {
		return Math.min(maxDecayMs, Math.max(minDecayMs, this.stays.meanStayMs * decayShare));
	}

	private recordTime(now: number): void {
		const states = [...this.models.values()];
		const busy = states.filter(({busySince}) => busySince !== undefined).length;
		const pausing = states.filter(({busySince, usualRate}) => busySince === undefined && usualRate > 0).length;
		this.stays.recordTime(now - (this.observedAt ?? now), busy, pausing);
		this.observedAt = now;
	}

	private observeModel(state: ModelState, rate: number, meanRate: number, now: number): void {
		if (state.busySince === undefined && rate >= meanRate) {
			state.busySince = now;
			state.seen = {sum: rate, count: 1};
			if (state.usualRate > 0) {
				this.stays.recordReturned();
			}
		} else if (state.busySince !== undefined && rate < meanRate * leaveShare) {
			this.recordLeft(state, now);
		} else if (state.busySince !== undefined) {
			state.seen = {sum: state.seen.sum + rate, count: state.seen.count + 1};
			this.confirm(state, now);
		}
	}

	private recordLeft(state: ModelState, now: number): void {
		if (now - (state.busySince ?? now) >= confirmationMs) {
			this.stays.recordLeft();
		}

		state.busySince = undefined;
	}

	/** Learns the usual rate of a model that has been busy for some time. */
	private confirm(state: ModelState, now: number): void {
		if (now - (state.busySince ?? now) >= confirmationMs) {
			state.usualRate = state.seen.sum / state.seen.count;
		}
	}
}
