/**
 * Chooses the source of a copy: the engine that has read most of the prompt. Among equal ones, one in the same failure domain is
 * preferred, since copies within it cross fewer links; then the one whose link is free first.
 */

/** An engine that has read parts of a prompt. */
export type CopySource = {
	id: string;
	failureDomain: string | undefined;
	/** Tokens that it has read of the prompt. */
	tokens: number;
	/** Time until its link is free, ms. */
	linkWaitMs: number;
};

const choosePreferred = (a: CopySource | undefined, b: CopySource): CopySource =>
	(a === undefined || b.tokens > a.tokens || (b.tokens === a.tokens && b.linkWaitMs < a.linkWaitMs) ? b : a);

export class CopySources {
	private readonly bestByDomain = new Map<string | undefined, CopySource>();
	private best: CopySource | undefined;

	get isEmpty(): boolean {
		return this.best === undefined;
	}

	add(source: CopySource): void {
		this.best = choosePreferred(this.best, source);
		this.bestByDomain.set(source.failureDomain, choosePreferred(this.bestByDomain.get(source.failureDomain), source));
	}

	/** Returns the source for an engine that keeps `cachedTokens` itself; undefined if none has read more. */
	choose(failureDomain: string | undefined, cachedTokens: number): CopySource | undefined {
		const {best} = this;
		if (!best || best.tokens <= cachedTokens) {
			return undefined;
		}

		const near = this.bestByDomain.get(failureDomain);
		return near?.tokens === best.tokens ? near : best;
	}
}
