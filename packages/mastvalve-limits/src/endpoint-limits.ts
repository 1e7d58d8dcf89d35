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
	LimitTimestamp, EndpointLimit, PermitClaim, PermitResult, LimitReport,
} from './permit-claim.js';
import {LimitHeaderKind, minPerSecond} from './limit-header.js';
import {TokenBucket} from './token-bucket.js';
import {ReservationQueue} from './reservation-queue.js';

/** What an endpoint may get before its rate has brought anything, requests: what was on its way when it named the limit is not counted. */
const initialPermits = 0;

/** Between the number of a reservation and its endpoint: an identity needs no table that reservations without an end would fill. */
const separator = '@';

type LimitState = {
	/** Undefined once the limit is over; the account stays until that is recorded. */
	perSecond: number | undefined;
	/** Number of the moment at which the last word was heard; 0 for one that was recorded before this leader. */
	reportedAt: number;
	bucket: TokenBucket;
	queue: ReservationQueue;
};

/** The limit that is recorded for an endpoint; `unknown` for one that has ended. */
export type ReadRecordedLimit = (endpoint: string) => {perSecond: number | undefined} | 'unknown';

/** The limits of one leader. Times are monotonic, ms. */
export class EndpointLimits {
	private readonly states = new Map<string, LimitState>();
	private sequence = 0;

	constructor(private readonly term: number, private readonly readRecordedLimit: ReadRecordedLimit) {}

	/** The present moment. */
	get timestamp(): LimitTimestamp {
		return {term: this.term, number: this.sequence};
	}

	/** Hears what an answer said of a limit. */
	recordReport({endpoint, word, grantedAt}: LimitReport, now: number): void {
		if (word.kind === LimitHeaderKind.Malformed || this.readRecordedLimit(endpoint) === 'unknown') {
			return;
		}

		this.sequence += 1;
		const perSecond = word.kind === LimitHeaderKind.Rate ? word.perSecond : undefined;
		const state = this.findState(endpoint, now);
		if (!state) {
			this.createState(endpoint, perSecond, now);
			return;
		}

		const isLater = grantedAt?.term === this.term && grantedAt.number >= state.reportedAt;
		const isStricter = perSecond !== undefined && perSecond < (state.perSecond ?? Number.POSITIVE_INFINITY);
		if (isLater || isStricter) {
			state.perSecond = perSecond;
			state.bucket.setRate(perSecond ?? minPerSecond, now);
			state.reportedAt = this.sequence;
		}
	}

	/** Takes a permit at the endpoint that has one first, or a reservation there if its turn comes in time. */
	claim({endpoints, urgency, maxWaitMs, reservation}: PermitClaim, now: number): PermitResult {
		const reserved = reservation === undefined ? undefined : this.releaseReservation(reservation);
		const offers = endpoints.map(endpoint => ({endpoint, waitMs: this.computeWaitMs(endpoint, urgency, endpoint === reserved, now)}));
		const best = minBy(offers, ({waitMs}) => waitMs);
		if (!best) {
			return {endpoint: undefined, waitMs: 0, reservation: undefined};
		}

		const {endpoint, waitMs} = best;
		if (waitMs === 0) {
			this.findState(endpoint, now)?.bucket.takePermit();
			return {endpoint, waitMs, reservation: undefined};
		}

		return {endpoint: undefined, waitMs, reservation: waitMs <= maxWaitMs ? this.reserve(endpoint, urgency, now + waitMs) : undefined};
	}

	/** Gives a reservation up; the endpoint where it was, if it had not lapsed. */
	releaseReservation(reservation: string): string | undefined {
		const endpoint = reservation.slice(reservation.indexOf(separator) + 1);
		return this.states.get(endpoint)?.queue.remove(reservation) ? endpoint : undefined;
	}

	/** A request that was let through was not handed over. */
	returnPermit(endpoint: string): void {
		this.states.get(endpoint)?.bucket.returnPermit();
	}

	/** Limits that differ from what is recorded. Accounts of endpoints that have ended, or of limits that are over, are dropped. */
	listChanged(): EndpointLimit[] {
		return [...this.states].flatMap(([endpoint, {perSecond}]) => {
			const recorded = this.readRecordedLimit(endpoint);
			if (recorded === 'unknown' || (perSecond === undefined && recorded.perSecond === undefined)) {
				this.states.delete(endpoint);
				return [];
			}

			return recorded.perSecond === perSecond ? [] : [{endpoint, perSecond}];
		});
	}

	/** Time until a request may be handed over, ms; `isDue` for one whose reserved turn has come. */
	private computeWaitMs(endpoint: string, urgency: number, isDue: boolean, now: number): number {
		const state = this.findState(endpoint, now);
		if (state?.perSecond === undefined) {
			return 0;
		}

		const {bucket, queue} = state;
		return isDue
			? bucket.computeWaitMs(now, queue.countDueMoreUrgent(urgency, now))
			: queue.findPermitTime(urgency, now, index => now + bucket.computeWaitMs(now, index)) - now;
	}

	private reserve(endpoint: string, urgency: number, dueAt: number): string {
		this.sequence += 1;
		const id = `${this.term}-${this.sequence}${separator}${endpoint}`;
		this.states.get(endpoint)?.queue.add({id, urgency, dueAt});
		return id;
	}

	private findState(endpoint: string, now: number): LimitState | undefined {
		const known = this.states.get(endpoint);
		if (known) {
			return known;
		}

		const recorded = this.readRecordedLimit(endpoint);
		return recorded === 'unknown' || recorded.perSecond === undefined ? undefined : this.createState(endpoint, recorded.perSecond, now);
	}

	private createState(endpoint: string, perSecond: number | undefined, now: number): LimitState | undefined {
		if (perSecond === undefined) {
			return undefined;
		}

		const state = {
			perSecond, reportedAt: this.sequence, bucket: new TokenBucket(perSecond, now, initialPermits), queue: new ReservationQueue(),
		};
		this.states.set(endpoint, state);
		return state;
	}
}
