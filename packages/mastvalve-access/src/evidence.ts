/**
 * How long an entry may believe what it knows of keys.
 *
 * A key that was taken away must not be served for longer than a bound, also by an entry that is cut off. To have heard from
 * some control instance lately proves nothing, since that one may be cut off itself. What proves it is a moment at which the
 * log's leader, by its lease, was sure that it knew all that was committed: a configuration acknowledged before that moment is
 * part of what the entry has. The moment is told as a time behind the entry's own question, so that no two clocks are
 * compared, and counted by the entry's steady clock. That clock may stand still while the instance is suspended; then the
 * evidence ends.
 */

import {ProvenMoment} from './proven-moment.js';

/** Part of the bound that is used, since steady clocks differ (by 1 in 10,000) and a hand-over takes some ms. */
const usedShare = 0.9;

/** The evidence of one entry. Times are monotonic, ms. */
export class Evidence {
	/** Up to this moment all that was committed is known here. */
	private readonly sure = new ProvenMoment();

	/** `boundMs` is the longest time for which a key may be served after it was taken away; undefined when there is no such bound. */
	constructor(private readonly boundMs: number | undefined) {}

	/** An answer to a question that was asked at `askedAt`: what it brought includes all that was committed up to `sureAfterMs` later. */
	record(askedAt: number, sureAfterMs: number): void {
		this.sure.record(askedAt, askedAt + sureAfterMs);
	}

	/** Time may have gone by that the steady clock did not count. */
	distrust(now: number): void {
		this.sure.distrust(now);
	}

	/** Whether keys may be believed. */
	isSure(now: number): boolean {
		return this.boundMs === undefined || this.ageAt(now) < this.boundMs * usedShare;
	}

	/** How old the evidence is, ms; infinite without any. */
	ageAt(now: number): number {
		return now - this.sure.at;
	}

	/** Whether it was ended by a suspension and comes again with the next answer. */
	isAwaited(now: number, forMs: number): boolean {
		return this.sure.at === Number.NEGATIVE_INFINITY && now - this.sure.distrustedAt < forMs;
	}
}
