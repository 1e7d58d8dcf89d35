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
const promptSizeWeight = 0.05;
/** Time before the first request of a model was seen, ms: between the fastest and the slowest engines known (0.03 to 0.15 s). */
const defaultFirstByteMs = 125;
/** Requests after which an estimate is worth telling others. */
const minSamples = 8;
/** Prompt tokens before the first request was seen. */
const defaultPromptTokens = 1000;

type Estimate = {prefillMsPerToken: number; tokens: number; samples: number};

/** The times. */
export class FirstByteTimes {
	private readonly models = new Map<string, Estimate>();

	/** An answer began so long after its request was handed over, ms. */
	record(model: string, promptTokens: number, headMs: number): void {
		const tokens = Math.max(1, promptTokens);
		const known = this.models.get(model) ?? {prefillMsPerToken: Math.min(headMs, defaultFirstByteMs) / tokens, tokens, samples: 0};
		const factor = headMs < known.prefillMsPerToken * tokens ? 1 - (step * (1 - quantile)) : 1 + (step * quantile);
		this.models.set(model, {
			prefillMsPerToken: known.samples === 0 ? known.prefillMsPerToken : known.prefillMsPerToken * factor,
			tokens: known.tokens + ((tokens - known.tokens) * promptSizeWeight),
			samples: known.samples + 1,
		});
	}

	/** Time in which an engine without a queue begins the answer to a prompt of the mean size, ms. */
	getFirstByteMs(model: string): number {
		const known = this.models.get(model);
		return known ? known.prefillMsPerToken * known.tokens : this.meanFirstByteMs;
	}

	/** The part of that for each prompt token, ms. */
	getPrefillMsPerToken(model: string): number {
		return this.models.get(model)?.prefillMsPerToken ?? this.meanFirstByteMs / defaultPromptTokens;
	}

	/** Estimates that rest on enough requests, by model, ms. */
	list(): Record<string, number> {
		const reliable = [...this.models].filter(([, {samples}]) => samples >= minSamples);
		return Object.fromEntries(reliable.map(([model]) => [model, Math.round(this.getFirstByteMs(model) * 10) / 10]));
	}

	private get meanFirstByteMs(): number {
		const known = [...this.models.keys()].map(model => this.getFirstByteMs(model));
		return known.length === 0 ? defaultFirstByteMs : known.reduce((sum, headMs) => sum + headMs, 0) / known.length;
	}
}
