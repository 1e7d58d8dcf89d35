/**
 * The request rate of one model: rises with the first requests of a burst, falls as fast as demand was seen to leave.
 */

/** Window in which a few requests count as a burst, ms. */
const burstMs = 400;
/** Requests in the window that make a burst: three of a quiet model, two of one that was busy before. */
const minBurst = 3;
const minReturnBurst = 2;
/** Time constant of the mean over patient demand, ms: rare models are asked for every few seconds. */
const longDecayMs = 15_000;
/** Time for which no request is no evidence, ms: entries report once a second. */
const silenceMs = 1000;
/** Requests that would have been expected in a silence if the rate had not fallen. */
const maxMissed = 3;
const msPerSecond = 1000;

type Arrival = {at: number; requests: number};

export class RequestRate {
	/** Time of the last request, ms. */
	lastAt = Number.NEGATIVE_INFINITY;
	private rate = 0;
	private longRate = 0;
	private arrivals: Arrival[] = [];

	/** Adds requests; `decayMs` is the time constant of the rate. */
	record(requests: number, now: number, decayMs: number): void {
		this.rate = this.decayedRate(now, decayMs) + (requests * msPerSecond / decayMs);
		this.longRate = this.longRateAt(now) + (requests * msPerSecond / longDecayMs);
		this.arrivals = [...this.arrivals.filter(({at}) => now - at < burstMs), {at: now, requests}];
		this.lastAt = now;
	}

	/** Returns requests per second; a model that was busy needs less evidence to count again, with half its former rate. */
	at(now: number, decayMs: number, formerRate: number): number {
		const burst = this.arrivals.filter(({at}) => now - at < burstMs).reduce((sum, {requests}) => sum + requests, 0);
		const certain = burst >= minBurst ? (burst - Math.sqrt(burst)) * msPerSecond / burstMs : 0;
		const returning = burst >= minReturnBurst ? formerRate / 2 : 0;
		return Math.max(certain, returning, Math.min(this.decayedRate(now, decayMs), this.maxRateAfterSilence(now)));
	}

	/** Returns requests per second over a long time. */
	longRateAt(now: number): number {
		return this.longRate * Math.exp(-this.idleMs(now) / longDecayMs);
	}

	private decayedRate(now: number, decayMs: number): number {
		return this.rate * Math.exp(-this.idleMs(now) / decayMs);
	}

	private maxRateAfterSilence(now: number): number {
		const silentMs = this.idleMs(now) - silenceMs;
		return silentMs > 0 ? maxMissed * msPerSecond / silentMs : Number.POSITIVE_INFINITY;
	}

	private idleMs(now: number): number {
		return this.lastAt === Number.NEGATIVE_INFINITY ? 0 : now - this.lastAt;
	}
}
