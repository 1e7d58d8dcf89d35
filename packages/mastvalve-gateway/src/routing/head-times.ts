/**
 * How long engines without a queue take to begin an answer, by model: learned from this entry's own requests.
 *
 * The lower quartile is followed, since requests that queue, or meet a slow engine, take longer than the reading of their
 * prompts.
 */

/** Followed quantile. */
const quantile = 0.25;
/** Part by which the estimate moves with each request: about 30 requests halve or double it. */
const step = 0.1;
/** Time before the first request of a model was seen, ms: between the fastest and the slowest engines known (0.03 to 0.15 s). */
const firstHeadMs = 125;
/** Requests after which an estimate is worth telling others. */
const minSamples = 8;
/** Prompt tokens before the first request was seen. */
const firstTokens = 1000;

type Estimate = {headMs: number; tokens: number; samples: number};

/** The times. */
export class HeadTimes {
	private readonly models = new Map<string, Estimate>();

	/** An answer began so long after its request was handed over, ms. */
	record(model: string, promptTokens: number, headMs: number): void {
		const known = this.models.get(model) ?? {headMs: firstHeadMs, tokens: promptTokens, samples: 0};
		const factor = headMs < known.headMs ? 1 - (step * (1 - quantile)) : 1 + (step * quantile);
		this.models.set(model, {
			headMs: known.samples === 0 ? Math.min(headMs, firstHeadMs) : known.headMs * factor,
			tokens: known.tokens + ((promptTokens - known.tokens) * step),
			samples: known.samples + 1,
		});
	}

	/** Time in which an engine without a queue begins an answer, ms. */
	headMsOf(model: string): number {
		return this.models.get(model)?.headMs ?? this.meanHeadMs;
	}

	/** The part of that for each prompt token, ms. */
	msPerToken(model: string): number {
		return this.headMsOf(model) / Math.max(1, this.models.get(model)?.tokens ?? firstTokens);
	}

	/** Estimates that rest on enough requests, by model. */
	list(): Record<string, number> {
		return Object.fromEntries([...this.models].filter(([, {samples}]) => samples >= minSamples).map(([model, {headMs}]) => [model, Math.round(headMs * 10) / 10]));
	}

	private get meanHeadMs(): number {
		const known = [...this.models.values()];
		return known.length === 0 ? firstHeadMs : known.reduce((sum, {headMs}) => sum + headMs, 0) / known.length;
	}
}
