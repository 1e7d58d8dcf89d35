/**
 * What one entry may send to an endpoint that has refused a request and asked for backoff: nothing until the backoff is over, then a
 * single request, and twice as many at a time with each round that it takes (slow start).
 *
 * A backoff is never shortened: each refusal counts from its own moment, whatever a later one says. It holds for one incarnation of
 * the endpoint. Plain state: no clock.
 */

import {AdmissionKind, type Admission} from './admission.js';

/** Entries that were refused at the same moment return spread over this share of their backoff. */
const jitterShare = 0.1;
/** Slow start is over once so many requests may be in progress without an answer. */
const maxWindow = 64;

/** The state of one endpoint. Times are monotonic, ms. */
export class EndpointBackoff {
	private until = Number.NEGATIVE_INFINITY;
	/** Requests that may be without an answer at once; undefined for any number. */
	private window: number | undefined;
	private unanswered = 0;
	/** Rises with each refusal, so that requests from before it don't count in the window after it. */
	private round = 0;
	/** Whether it took a request since the last backoff was over. */
	private hasTaken = false;
	private isReliableNow = false;

	/** Whether the endpoint took requests again after the backoff before this one, so that waiting for the end of this one is likely to pay. */
	get isReliable(): boolean {
		return this.isReliableNow;
	}

	/** It has refused a request and asked for `delayMs` without any; `random` is in [0, 1). */
	recordRefusal(now: number, delayMs: number, random: number): void {
		if (now >= this.until) {
			this.isReliableNow = this.hasTaken;
			this.hasTaken = false;
		}

		this.until = Math.max(this.until, now + (delayMs * (1 + (jitterShare * random))));
		this.window = 1;
		this.unanswered = 0;
		this.round += 1;
	}

	/** Whether a request may be sent. */
	judge(now: number): Admission {
		if (now < this.until) {
			return {kind: AdmissionKind.At, at: this.until};
		}

		return this.window !== undefined && this.unanswered >= this.window ? {kind: AdmissionKind.AfterAnswer} : {kind: AdmissionKind.Now};
	}

	/** A request is sent. The result is called when it is answered or over, with whether the endpoint took it; it says whether another request may be sent now. */
	begin(): (isTaken: boolean) => boolean {
		const {round} = this;
		let isOpen = true;
		this.unanswered += 1;
		return isTaken => {
			if (!isOpen || round !== this.round) {
				return false;
			}

			isOpen = false;
			this.unanswered -= 1;
			const wasRestricted = this.window !== undefined;
			if (isTaken) {
				this.widen();
			}

			return wasRestricted;
		};
	}

	private widen(): void {
		this.hasTaken = this.round > 0;
		if (this.window !== undefined) {
			this.window = this.window >= maxWindow ? undefined : this.window + 1;
		}
	}
}
