/**
 * What endpoints that have named a limit may still get, counted at one place for all entries.
 *
 * The load pattern that it answers: an endpoint in need names a few requests a second, while many entries go on sending it one now
 * and then. A fixed share of the limit is below one request for each of them, so entries that kept to shares would starve the
 * endpoint, and entries that each rounded up would flood it. One count has neither, at the price of a call within the region for
 * requests to such endpoints only.
 *
 * Answers on different connections pass each other, so an answer ends or raises a limit only if its request was let through
 * after the limit had been heard here.
 */

import {minBy} from 'mastvalve-utils';
import type {
	AccountMoment, EndpointLimit, HandoverClaim, HandoverGrant, ToldWord,
} from './handover-claim.js';
import {LimitWordKind, minPerSecond} from './limit-word.js';
import {RateBucket} from './rate-bucket.js';
import {ReservationQueue} from './reservation-queue.js';

/** What an endpoint may get before its rate has brought anything, requests: what was on its way when it named the limit is not counted. */
const firstLevel = 0;

/** Between the number of a reservation and its endpoint: an identity needs no table that reservations without an end would fill. */
const separator = '@';

type Account = {
	/** Undefined once the limit is over; the account stays until that is recorded. */
	perSecond: number | undefined;
	/** Number of the moment at which the last word was heard; 0 for one that was recorded before this leader. */
	heardAt: number;
	bucket: RateBucket;
	queue: ReservationQueue;
};

/** The limit that is recorded for an endpoint; `unknown` for one that has ended. */
export type ReadRecorded = (endpoint: string) => {perSecond: number | undefined} | 'unknown';

/** The limits of one leader. Times are monotonic, ms. */
export class EndpointLimits {
	private readonly accounts = new Map<string, Account>();
	private number = 0;

	constructor(private readonly term: number, private readonly readRecorded: ReadRecorded) {}

	/** The present moment. */
	get moment(): AccountMoment {
		return {term: this.term, number: this.number};
	}

	/** Hears what an answer said of a limit. */
	hear({endpoint, word, grantedAt}: ToldWord, now: number): void {
		if (word.kind === LimitWordKind.Unreadable || this.readRecorded(endpoint) === 'unknown') {
			return;
		}

		this.number += 1;
		const told = word.kind === LimitWordKind.Named ? word.perSecond : undefined;
		const account = this.accountOf(endpoint, now);
		if (!account) {
			this.open(endpoint, told, now);
			return;
		}

		const isLater = grantedAt?.term === this.term && grantedAt.number >= account.heardAt;
		const isStricter = told !== undefined && told < (account.perSecond ?? Number.POSITIVE_INFINITY);
		if (isLater || isStricter) {
			account.perSecond = told;
			account.bucket.setRate(told ?? minPerSecond, now);
			account.heardAt = this.number;
		}
	}

	/** Takes a permit at the endpoint that has one first, or a reservation there if its turn comes in time. */
	claim({endpoints, urgency, maxWaitMs, reservation}: HandoverClaim, now: number): HandoverGrant {
		const reserved = reservation === undefined ? undefined : this.release(reservation);
		const offers = endpoints.map(endpoint => ({endpoint, waitMs: this.findWait(endpoint, urgency, endpoint === reserved, now)}));
		const best = minBy(offers, ({waitMs}) => waitMs);
		if (!best) {
			return {endpoint: undefined, waitMs: 0, reservation: undefined};
		}

		const {endpoint, waitMs} = best;
		if (waitMs === 0) {
			this.accountOf(endpoint, now)?.bucket.take();
			return {endpoint, waitMs, reservation: undefined};
		}

		return {endpoint: undefined, waitMs, reservation: waitMs <= maxWaitMs ? this.reserve(endpoint, urgency, now + waitMs) : undefined};
	}

	/** Gives a reservation up; the endpoint where it was, if it had not lapsed. */
	release(reservation: string): string | undefined {
		const endpoint = reservation.slice(reservation.indexOf(separator) + 1);
		return this.accounts.get(endpoint)?.queue.remove(reservation) ? endpoint : undefined;
	}

	/** A request that was let through was not handed over. */
	giveBack(endpoint: string): void {
		this.accounts.get(endpoint)?.bucket.giveBack();
	}

	/** Limits that differ from what is recorded. Accounts of endpoints that have ended, or of limits that are over, are dropped. */
	listChanged(): EndpointLimit[] {
		return [...this.accounts].flatMap(([endpoint, {perSecond}]) => {
			const recorded = this.readRecorded(endpoint);
			if (recorded === 'unknown' || (perSecond === undefined && recorded.perSecond === undefined)) {
				this.accounts.delete(endpoint);
				return [];
			}

			return recorded.perSecond === perSecond ? [] : [{endpoint, perSecond}];
		});
	}

	/** Time until a request may be handed over, ms; `isDue` for one whose reserved turn has come. */
	private findWait(endpoint: string, urgency: number, isDue: boolean, now: number): number {
		const account = this.accountOf(endpoint, now);
		if (account?.perSecond === undefined) {
			return 0;
		}

		const {bucket, queue} = account;
		return isDue
			? bucket.waitMs(now, queue.countDueBefore(urgency, now))
			: queue.findTurn(urgency, now, index => now + bucket.waitMs(now, index)) - now;
	}

	private reserve(endpoint: string, urgency: number, dueAt: number): string {
		this.number += 1;
		const id = `${this.term}-${this.number}${separator}${endpoint}`;
		this.accounts.get(endpoint)?.queue.add({id, urgency, dueAt});
		return id;
	}

	private accountOf(endpoint: string, now: number): Account | undefined {
		const known = this.accounts.get(endpoint);
		if (known) {
			return known;
		}

		const recorded = this.readRecorded(endpoint);
		return recorded === 'unknown' || recorded.perSecond === undefined ? undefined : this.open(endpoint, recorded.perSecond, now);
	}

	private open(endpoint: string, perSecond: number | undefined, now: number): Account | undefined {
		if (perSecond === undefined) {
			return undefined;
		}

		const account = {
			perSecond, heardAt: this.number, bucket: new RateBucket(perSecond, now, firstLevel), queue: new ReservationQueue(),
		};
		this.accounts.set(endpoint, account);
		return account;
	}
}
