/**
 * Learns how fast engines read prompts. The time per token is the product of the time of the model, the duration of work that the
 * engine reports, and a factor by which the engine is measured to differ from its reports.
 *
 * Engines may share their machines with other work: some are always slow, and each is slowed down for fractions of a second at a time.
 */

/** Time per token assumed for a model without samples, ms; between the fastest and the slowest known engines. */
const defaultMsPerToken = 0.03;
/** Weight of one sample of a long prompt in the factor of its engine: follows a lasting change within ten samples. */
const engineWeight = 0.12;
/** The same weight for the model, whose speed doesn't change; its samples come from all engines. */
const modelWeight = 0.04;
/** Prompt size at which a sample has half of its weight, tokens: with a short prompt the time depends more on the batch than on reading. */
const halfWeightTokens = 800;
/** Largest natural logarithm of a sample's ratio to the estimate: a request that was queued unseen isn't a change of speed by orders of magnitude. */
const maxLogRatio = 1.2;
/** Time constant with which a reported deviation from the usual duration decays, ms: deviations last some hundred milliseconds. */
const deviationDecayMs = 400;
/** Reports from which the usual duration of an engine is taken. */
const keptReports = 9;

/** Tokens that an engine has read, and the time that it took, ms. */
export type ReadSample = {engine: string; model: string; tokens: number; ms: number};

/** Durations of work that an engine has reported, newest last, relative to those of its service. */
type ReportedDurations = {recent: number[]; at: number};

const medianOf = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 1;

export class ReadSpeed {
	private readonly models = new Map<string, number>();
	private readonly engines = new Map<string, number>();
	private readonly reported = new Map<string, ReportedDurations>();

	/** Returns the expected time to read one token, ms. */
	msPerToken(engine: string, model: string, now: number): number {
		return this.usualMsPerToken(model) * this.factorNow(engine, now);
	}

	/** Returns how much longer than an engine of mean speed this one takes now. */
	factorNow(engine: string, now: number): number {
		return this.learnedFactorOf(engine) * this.durationOf(engine, now);
	}

	/** Returns the time to read one token at an engine of usual speed, ms. */
	usualMsPerToken(model: string): number {
		const known = this.models.get(model);
		if (known !== undefined) {
			return known;
		}

		return this.models.size === 0 ? defaultMsPerToken : [...this.models.values()].reduce((sum, each) => sum + each, 0) / this.models.size;
	}

	/** Returns how long work is expected to take at an engine now, as it reports it; 1 is as usual in its service. */
	durationOf(engine: string, now: number): number {
		const reported = this.reported.get(engine);
		if (!reported) {
			return 1;
		}

		const usual = medianOf(reported.recent);
		return usual + (((reported.recent.at(-1) ?? usual) - usual) * Math.exp(-(now - reported.at) / deviationDecayMs));
	}

	/** Returns how long work usually takes at an engine; 1 is the mean of its service, 2 is half as fast. */
	factorOf(engine: string): number {
		return this.learnedFactorOf(engine) * medianOf(this.reported.get(engine)?.recent ?? []);
	}

	/** Records the relative duration of work that an engine reports with an answer. */
	recordDuration(engine: string, duration: number, at: number): void {
		const {recent, at: lastAt} = this.reported.get(engine) ?? {recent: [], at: Number.NEGATIVE_INFINITY};
		if (at >= lastAt) {
			this.reported.set(engine, {recent: [...recent, duration].slice(-keptReports), at});
		}
	}

	/** Records how long an engine took to read tokens of a prompt. */
	recordRead({engine, model, tokens, ms}: ReadSample, now: number): void {
		if (tokens <= 0 || ms <= 0) {
			return;
		}

		const expected = this.msPerToken(engine, model, now) * tokens;
		const logRatio = Math.max(-maxLogRatio, Math.min(maxLogRatio, Math.log(ms / expected)));
		const weight = tokens / (tokens + halfWeightTokens);
		this.engines.set(engine, this.learnedFactorOf(engine) * Math.exp(logRatio * weight * engineWeight));
		this.models.set(model, this.usualMsPerToken(model) * Math.exp(logRatio * weight * modelWeight));
	}

	/** Forgets an engine that is gone. */
	dropEngine(engine: string): void {
		this.engines.delete(engine);
		this.reported.delete(engine);
	}

	/** Returns the factor by which the measured time to read differs from the reported duration. */
	private learnedFactorOf(engine: string): number {
		return this.engines.get(engine) ?? 1;
	}
}
