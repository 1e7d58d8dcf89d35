/**
 * How long engines without a queue take to begin an answer, by model: learned from this entry's own requests.
 *
 * It is learned as a time for each prompt token, and told for a prompt of the mean size. Prompts are heavy-tailed: the largest
 * tenth is most of what an engine reads. A typical answer's time would let engines of busy models count as half used when
 * they are full.
 *
 * The lower quartile of the time for a token is followed, since requests that queue, or meet a slow engine, take longer than
 * the reading of their prompts.
 */

/** Followed quantile. */
const quantile = 0.25;
/** Part by which the estimate moves with each request: about 30 requests halve or double it. */
const step = 0.1;
/** Weight of the newest prompt in the mean size: that of 20 requests, since sizes spread widely. */
const sizeWeight = 0.05;
/** Time before the first request of a model was seen, ms: between the fastest and the slowest engines known (0.03 to 0.15 s). */
const firstHeadMs = 125;
/** Requests after which an estimate is worth telling others. */
const minSamples = 8;
/** Prompt tokens before the first request was seen. */
const firstTokens = 1000;

type Estimate = {msPerToken: number; tokens: number; samples: number};

/** The times. */
export class HeadTimes {
	private readonly models = new Map<string, Estimate>();

	/** An answer began so long after its request was handed over, ms. */
	record(model: string, promptTokens: number, headMs: number): void {
		const tokens = Math.max(1, promptTokens);
		const known = this.models.get(model) ?? {msPerToken: Math.min(headMs, firstHeadMs) / tokens, tokens, samples: 0};
		const factor = headMs < known.msPerToken * tokens ? 1 - (step * (1 - quantile)) : 1 + (step * quantile);
		this.models.set(model, {
			msPerToken: known.samples === 0 ? known.msPerToken : known.msPerToken * factor,
			tokens: known.tokens + ((tokens - known.tokens) * sizeWeight),
			samples: known.samples + 1,
		});
	}

	/** Time in which an engine without a queue begins the answer to a prompt of the mean size, ms. */
	headMsOf(model: string): number {
		const known = this.models.get(model);
		return known ? known.msPerToken * known.tokens : this.meanHeadMs;
	}

	/** The part of that for each prompt token, ms. */
	msPerToken(model: string): number {
		return this.models.get(model)?.msPerToken ?? this.meanHeadMs / firstTokens;
	}

	/** Estimates that rest on enough requests, by model, ms. */
	list(): Record<string, number> {
		const told = [...this.models].filter(([, {samples}]) => samples >= minSamples);
		return Object.fromEntries(told.map(([model]) => [model, Math.round(this.headMsOf(model) * 10) / 10]));
	}

	private get meanHeadMs(): number {
		const known = [...this.models.keys()].map(model => this.headMsOf(model));
		return known.length === 0 ? firstHeadMs : known.reduce((sum, headMs) => sum + headMs, 0) / known.length;
	}
}
