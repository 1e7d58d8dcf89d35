/**
 * Estimates the time to first byte of engines without a queue, per model, from this entry's own requests.
 *
 * The estimate is kept per prompt token and reported for a prompt of mean size. Prompt sizes are heavy-tailed: the largest tenth
 * accounts for most of the prefill work. With the time of a typical response, engines of busy models would count as half utilised when
 * they are saturated.
 *
 * Tracks the lower quartile of the time per token, since requests that queue or reach a slow engine take longer than their prefill.
 */

/** Tracked quantile. */
const quantile = 0.25;
/** Relative change of the estimate per request: about 30 requests halve or double it. */
const step = 0.1;
/** Weight of the newest prompt in the moving mean of prompt sizes: averages over about 20 requests, since sizes vary widely. */
const promptSizeWeight = 0.05;
/** Default without any samples, ms: between the fastest and the slowest known engines (0.03 to 0.15 s). */
const defaultFirstByteMs = 125;
/** Samples required before an estimate is reported. */
const minSamples = 8;
/** Mean prompt size assumed without any samples, tokens. */
const defaultPromptTokens = 1000;

type Estimate = {prefillMsPerToken: number; tokens: number; samples: number};

/** Estimates of one entry. */
export class FirstByteTimes {
	private readonly models = new Map<string, Estimate>();

	/** Records the time from sending a request to the first byte of its response, ms. */
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

	/** Returns the time to first byte for a prompt of mean size at an engine without a queue, ms. */
	getFirstByteMs(model: string): number {
		const known = this.models.get(model);
		return known ? known.prefillMsPerToken * known.tokens : this.meanFirstByteMs;
	}

	/** Returns the share of that time per prompt token, ms. */
	getPrefillMsPerToken(model: string): number {
		return this.models.get(model)?.prefillMsPerToken ?? this.meanFirstByteMs / defaultPromptTokens;
	}

	/** Returns the estimates with enough samples, by model, ms. */
	list(): Record<string, number> {
		const reliable = [...this.models].filter(([, {samples}]) => samples >= minSamples);
		return Object.fromEntries(reliable.map(([model]) => [model, Math.round(this.getFirstByteMs(model) * 10) / 10]));
	}

	private get meanFirstByteMs(): number {
		const known = [...this.models.keys()].map(model => this.getFirstByteMs(model));
		return known.length === 0 ? defaultFirstByteMs : known.reduce((sum, headMs) => sum + headMs, 0) / known.length;
	}
}
