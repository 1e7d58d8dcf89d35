/**
 * What one entry may send to an endpoint that has refused a request and asked for backoff: nothing until the backoff is over, then a
 * single request, and twice as many at a time with each round that it takes (slow start).
 *
 * The load pattern that it answers besides an outage: an endpoint that gets a little more than it takes. Each refusal there costs the
 * entry a whole backoff, so an endpoint that refuses again after it took requests is kept below the number of requests in progress at
 * which it did, and that number is raised seldom.
 *
 * A backoff is never shortened: each refusal counts from its own moment, whatever a later one says. It holds for one incarnation of
 * the endpoint. Plain state: no clock.
 */

import {AdmissionKind, type Admission} from './admission.js';

/** Entries that were refused at the same moment return spread over this share of their backoff. */
const jitterRatio = 0.1;
/** Slow start is over once so many requests may be in progress without an answer. */
const maxWindow = 64;
/** Part of the requests in progress at a refusal that may be in progress afterwards. */
const ceilingRatio = 0.8;
/** A raise of the ceiling that goes too far costs a backoff, so raises are this many backoffs apart. */
const raiseIntervalBackoffs = 10;
/** A raise adds this share, and one request at least. */
const raiseRatio = 0.1;

/** A request that was sent to the endpoint. */
export type TrackedRequest = {
	/** Its answer has begun; whether the endpoint took the request. The result says whether more may be sent now than before. */
	recordAnswer: (isAccepted: boolean) => boolean;
	/** It is over; the result says the same. */
	finish: () => boolean;
};

/** The state of one endpoint. Times are monotonic, ms. */
export class EndpointBackoff {
	private backoffUntil = Number.NEGATIVE_INFINITY;
	/** Requests that may be without an answer at once; undefined for any number. */
	private window: number | undefined;
	/** Requests that may be in progress at once; undefined until a refusal has shown that there is such a number. */
	private ceiling: number | undefined;
	private raiseAt = Number.POSITIVE_INFINITY;
	private raiseIntervalMs = 0;
	private unanswered = 0;
	private inFlight = 0;
	/** Rises with each refusal, so that requests from before it don't count in the window after it. */
	private epoch = 0;
	/** Whether it took a request since the last backoff was over. */
	private hasAccepted = false;
	private hasRecoveredSinceRefusal = false;

	/** Whether the endpoint took requests again after the backoff before this one, so that waiting for the end of this one is likely to pay. */
	get isRecoveryLikely(): boolean {
		return this.hasRecoveredSinceRefusal;
	}

	/** It has refused a request and asked for `delayMs` without any; `random` is in [0, 1). */
	recordRefusal(now: number, delayMs: number, random: number): void {
		if (now >= this.backoffUntil) {
			this.beginBackoff(now, delayMs);
		}

		this.backoffUntil = Math.max(this.backoffUntil, now + (delayMs * (1 + (jitterRatio * random))));
		this.window = 1;
		this.unanswered = 0;
		this.epoch += 1;
	}

	/** Whether a request may be sent. */
	checkAdmission(now: number): Admission {
		if (now < this.backoffUntil) {
			return {kind: AdmissionKind.At, at: this.backoffUntil};
		}

		this.raiseCeiling(now);
		const isFull = this.unanswered >= (this.window ?? Number.POSITIVE_INFINITY) || this.inFlight >= Math.floor(this.ceiling ?? Number.POSITIVE_INFINITY);
		return {kind: isFull ? AdmissionKind.AfterAnswer : AdmissionKind.Now};
	}

	/** A request is sent. */
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

	/** A refusal after the endpoint had taken requests again tells how many in progress are too many; the first one may be of an outage. */
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
