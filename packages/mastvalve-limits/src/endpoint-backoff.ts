/**
 * Limits what one entry sends to an endpoint that has refused a request and asked for backoff: nothing until the backoff ends, then a
 * single request, and twice as many at a time with each accepted round (slow start).
 *
 * Besides outages, this covers an endpoint under slight overload. Each refusal there costs the entry a whole backoff, so an endpoint that
 * refuses again after having accepted requests is kept below the number of requests in flight at that refusal, and this ceiling is raised
 * infrequently.
 *
 * A backoff is never shortened: each refusal applies from its own time, regardless of later ones. The state covers one incarnation of the
 * endpoint and has no clock.
 */

import {AdmissionKind, type Admission} from './admission.js';

/** Jitter: entries that were refused at the same moment retry spread over this share of their backoff. */
const jitterRatio = 0.1;
/** Slow start ends once this many requests may be unanswered at a time. */
const maxWindow = 64;
/** Share of the requests in flight at a refusal that may be in flight afterwards. */
const ceilingRatio = 0.8;
/** Interval between raises of the ceiling, in backoffs: a raise that goes too far costs a whole backoff. */
const raiseIntervalBackoffs = 10;
/** Share of the ceiling that a raise adds; at least one request. */
const raiseRatio = 0.1;

/** Request that was sent to the endpoint. */
export type TrackedRequest = {
	/** Records the start of the response and whether the endpoint accepted the request. Returns whether more requests may be sent now. */
	recordAnswer: (isAccepted: boolean) => boolean;
	/** Records the end of the request. Returns whether more requests may be sent now. */
	finish: () => boolean;
};

/** Backoff state of one endpoint. Times are monotonic, ms. */
export class EndpointBackoff {
	private backoffUntil = Number.NEGATIVE_INFINITY;
	/** Number of requests that may be unanswered at a time; undefined if unlimited. */
	private window: number | undefined;
	/** Number of requests that may be in flight at a time; undefined until a refusal has shown such a bound. */
	private ceiling: number | undefined;
	private raiseAt = Number.POSITIVE_INFINITY;
	private raiseIntervalMs = 0;
	private unanswered = 0;
	private inFlight = 0;
	/** Incremented with each refusal, so that earlier requests don't count towards the window after it. */
	private epoch = 0;
	/** Whether the endpoint accepted a request since the last backoff ended. */
	private hasAccepted = false;
	private hasRecoveredSinceRefusal = false;

	/** Whether the endpoint accepted requests after the previous backoff, so that waiting for the end of this one is likely to succeed. */
	get isRecoveryLikely(): boolean {
		return this.hasRecoveredSinceRefusal;
	}

	/** Records a refusal with a requested backoff of `delayMs`; `random` is in [0, 1). */
	recordRefusal(now: number, delayMs: number, random: number): void {
		if (now >= this.backoffUntil) {
			this.beginBackoff(now, delayMs);
		}

		this.backoffUntil = Math.max(this.backoffUntil, now + (delayMs * (1 + (jitterRatio * random))));
		this.window = 1;
		this.unanswered = 0;
		this.epoch += 1;
	}

	/** Decides whether a request may be sent. */
	checkAdmission(now: number): Admission {
		if (now < this.backoffUntil) {
			return {kind: AdmissionKind.At, at: this.backoffUntil};
		}

		this.raiseCeiling(now);
		const isFull = this.unanswered >= (this.window ?? Number.POSITIVE_INFINITY) || this.inFlight >= Math.floor(this.ceiling ?? Number.POSITIVE_INFINITY);
		return {kind: isFull ? AdmissionKind.AfterAnswer : AdmissionKind.Now};
	}

	/** Records that a request is sent. */
	beginRequest(): TrackedRequest {
		const {epoch} = this;
		let isUnanswered = true;
		let isOpen = true;
		this.unanswered += 1;
		this.inFlight += 1;
		const recordAnswer = (isAccepted: boolean): boolean => {
			const isCounted = isUnanswered && epoch === this.epoch;
			isUnanswered = false;
			if (!isCounted) {
				return false;
			}

			const wasRestricted = this.window !== undefined;
			this.unanswered -= 1;
			if (isAccepted) {
				this.widenWindow();
			}

			return wasRestricted;
		};

		return {
			recordAnswer,
			finish: () => {
				const hasWidened = recordAnswer(false);
				this.inFlight -= isOpen ? 1 : 0;
				isOpen = false;
				return hasWidened || this.ceiling !== undefined;
			},
		};
	}

	/** A refusal after the endpoint has accepted requests again shows how many in flight are too many; the first refusal may be due to an outage. */
	private beginBackoff(now: number, delayMs: number): void {
		const others = this.inFlight - 1;
		if (this.hasAccepted && others > 0) {
			this.ceiling = Math.max(1, Math.min(others, this.ceiling ?? Number.POSITIVE_INFINITY) * ceilingRatio);
		}

		this.raiseIntervalMs = delayMs * raiseIntervalBackoffs;
		this.raiseAt = now + delayMs + this.raiseIntervalMs;
		this.hasRecoveredSinceRefusal = this.hasAccepted;
		this.hasAccepted = false;
	}

	private raiseCeiling(now: number): void {
		if (this.ceiling !== undefined && now >= this.raiseAt) {
			this.ceiling += Math.max(1, this.ceiling * raiseRatio);
			this.raiseAt = now + this.raiseIntervalMs;
		}
	}

	private widenWindow(): void {
		this.hasAccepted = this.epoch > 0;
		if (this.window !== undefined) {
			this.window = this.window >= maxWindow ? undefined : this.window + 1;
		}
	}
}
