/**
 * How much each model is asked for, from what entries count. Old demand fades.
 */

/** Time after which an unrepeated request counts for a third, ms. Demand moves along the list of models in 5 to 6 s. */
const decayMs = 4000;
const msPerSecond = 1000;

type DecayedCount = {amount: number; at: number; lastAt: number};

/** The estimate. */
export class ModelDemandEstimate {
	private readonly models = new Map<string, DecayedCount>();
	private expected = new Map<string, number>();
	/** When the first request came, ms. */
	private firstRecordedAt: number | undefined;

	/** Whether anything was ever asked for. */
	get isEmpty(): boolean {
		return this.models.size === 0;
	}

	/** What is expected before the first request, in requests a second; it fades from then on. */
	setExpectedRates(rates: ReadonlyArray<[string, number]>): void {
		this.expected = new Map(rates);
	}

	/** Whether a model was ever asked for. */
	hasRecorded(model: string): boolean {
		return this.models.has(model);
	}

	/** Counts requests for a model. */
	record(model: string, requests: number, now: number): void {
		this.firstRecordedAt ??= now;
		this.models.set(model, {amount: this.decayedCountOf(model, now) + requests, at: now, lastAt: now});
	}

	/** Requests a second: as they come, or as they were expected before the first one. */
	rateOf(model: string, now: number): number {
		const expected = (this.expected.get(model) ?? 0) * Math.exp(-(now - (this.firstRecordedAt ?? now)) / decayMs);
		return Math.max(expected, this.observedRateOf(model, now));
	}

	/** Requests a second that callers have made, without what was only expected before the first one. */
	observedRateOf(model: string, now: number): number {
		return this.decayedCountOf(model, now) / (decayMs / msPerSecond);
	}

	/** Time since the last request, ms. */
	idleMsOf(model: string, now: number): number {
		return now - (this.models.get(model)?.lastAt ?? Number.NEGATIVE_INFINITY);
	}

	private decayedCountOf(model: string, now: number): number {
		const known = this.models.get(model);
		return known ? known.amount * Math.exp(-(now - known.at) / decayMs) : 0;
	}
}
