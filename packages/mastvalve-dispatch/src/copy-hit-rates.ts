/**
 * Learns the hit rate of copies of a service, which is the share of their tokens that they bring, from the time that engines took to
 * read the prompt.
 *
 * An engine may have evicted what the leader counts as kept, or may keep parts apart that the leader takes for equal, such as those of
 * different workspaces. A copy that brings nothing only delays its caller, so few copies are made at a low hit rate. The expected hit
 * rate recovers with time, so that copies are tried again.
 */

/** Weight of one sample of a large copy: follows a lasting change within ten samples. */
const sampleWeight = 0.1;
/** Copy size at which a sample has half of its weight, tokens: with a short copy the time depends more on the batch than on the copy. */
const halfWeightTokens = 800;
/** Time constant with which the expected hit rate recovers to 1, ms: with a lasting fault one copy every few seconds is wasted. */
const recoveryMs = 60_000;

/** How long an engine took to read a prompt after a copy, ms. */
export type CopySample = {
	/** Expected time without a copy. */
	withoutMs: number;
	/** Expected time with a whole copy, and the wait for its end. */
	withMs: number;
	measuredMs: number;
};

type HitRate = {rate: number; at: number};

/** Returns the hit rate of a copy, from the time that it has saved; undefined if even a whole copy would have saved none. */
export const measureHitRate = ({withoutMs, withMs, measuredMs}: CopySample): number | undefined =>
	(withoutMs > withMs ? Math.max(0, Math.min(1, (withoutMs - measuredMs) / (withoutMs - withMs))) : undefined);

/** Times are monotonic, ms. */
export class CopyHitRates {
	private readonly services = new Map<string, HitRate>();

	/** Returns the expected hit rate of copies of a service; 1 until one was made. */
	rateOf(service: string, now: number): number {
		const known = this.services.get(service);
		return known ? 1 - ((1 - known.rate) * Math.exp(-(now - known.at) / recoveryMs)) : 1;
	}

	/** Records the hit rate of a copy. */
	record(service: string, tokens: number, rate: number, now: number): void {
		const before = this.rateOf(service, now);
		const weight = sampleWeight * tokens / (tokens + halfWeightTokens);
		this.services.set(service, {rate: before + ((rate - before) * weight), at: now});
	}
}
