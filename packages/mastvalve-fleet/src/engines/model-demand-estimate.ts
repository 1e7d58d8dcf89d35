/**
 * Estimates the request rate of each model from the counts of entries, with exponential decay.
 */

/** Time constant of the decay, ms: after it, a request counts for about a third. Demand shifts along the list of models in 5 to 6 s. */
const decayMs = 4000;
const msPerSecond = 1000;

type DecayedCount = {amount: number; at: number; lastAt: number};

export class ModelDemandEstimate {
	private readonly models = new Map<string, DecayedCount>();
	private expected = new Map<string, number>();
	/** Time of the first request, ms. */
	private firstRecordedAt: number | undefined;

	/** Whether no request was ever recorded. */
	get isEmpty(): boolean {
		return this.models.size === 0;
	}

	/** Sets the rates expected before the first request, in requests per second; they decay from the first request on. */
	setExpectedRates(rates: ReadonlyArray<[string, number]>): void {
		this.expected = new Map(rates);
	}

	/** Whether a request for a model was ever recorded. */
	hasRecorded(model: string): boolean {
		return this.models.has(model);
	}

	/** Adds requests for a model; `now` in ms. */
	record(model: string, requests: number, now: number): void {
		this.firstRecordedAt ??= now;
		this.models.set(model, {amount: this.decayedCountOf(model, now) + requests, at: now, lastAt: now});
	}

	/** Returns requests per second: the higher of the observed rate and what remains of the expected one. */
	rateOf(model: string, now: number): number {
		const expected = (this.expected.get(model) ?? 0) * Math.exp(-(now - (this.firstRecordedAt ?? now)) / decayMs);
		return Math.max(expected, this.observedRateOf(model, now));
	}

	/** Returns requests per second from recorded requests only, without the expected rates. */
	observedRateOf(model: string, now: number): number {
		return this.decayedCountOf(model, now) / (decayMs / msPerSecond);
	}

	/** Returns the time since the last request, ms; infinite if there was none. */
	idleMsOf(model: string, now: number): number {
		return now - (this.models.get(model)?.lastAt ?? Number.NEGATIVE_INFINITY);
	}

	private decayedCountOf(model: string, now: number): number {
		const known = this.models.get(model);
		return known ? known.amount * Math.exp(-(now - known.at) / decayMs) : 0;
	}
}
