/**
 * Enforces the rate limits that endpoints announce, counted at the leader for all entries.
 *
 * An overloaded endpoint announces a few requests per second while many entries each send it one occasionally. An equal share of the limit
 * is below one request per entry, so entries that kept to shares would starve the endpoint, and entries that rounded up would flood it.
 * A central count avoids both at the cost of one call within the region, for requests to such endpoints only.
 *
 * Responses on different connections can overtake each other, so a response clears or raises a limit only if the permit of its request
 * was granted after the limit had been received here.
 */

import {minBy} from 'mastvalve-utils';
import type {
	LimitTimestamp, EndpointLimit, PermitClaim, PermitResult, LimitReport,
} from './permit-claim.js';
import {LimitHeaderKind, minPerSecond} from './limit-header.js';
import {TokenBucket} from './token-bucket.js';
import {ReservationQueue} from './reservation-queue.js';

/** Initially no permits, since requests in flight when the endpoint announced its limit are not counted. */
const initialPermits = 0;

/** Separates number and endpoint in a reservation id, so that no table of reservations is needed, which abandoned ones would fill. */
const separator = '@';

type LimitState = {
	/** Undefined once the limit is cleared; the state is kept until this is recorded. */
	perSecond: number | undefined;
	/** Sequence number of the last report; 0 for a limit that was recorded before this leader's term. */
	reportedAt: number;
	bucket: TokenBucket;
	queue: ReservationQueue;
};

/** Returns the recorded limit of an endpoint; `unknown` if its incarnation has ended. */
export type ReadRecordedLimit = (endpoint: string) => {perSecond: number | undefined} | 'unknown';

/** Endpoint limits of one leader. Times are monotonic, ms. */
export class EndpointLimits {
	private readonly states = new Map<string, LimitState>();
	private sequence = 0;

	constructor(private readonly term: number, private readonly readRecordedLimit: ReadRecordedLimit) {}

	get timestamp(): LimitTimestamp {
		return {term: this.term, number: this.sequence};
	}

	/** Applies the limit header of a response. */
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

	/** Takes a permit at the endpoint that has the earliest one, or reserves it if it is due within `maxWaitMs`. */
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

	/** Cancels a reservation. Returns its endpoint unless it had expired. */
	releaseReservation(reservation: string): string | undefined {
		const endpoint = reservation.slice(reservation.indexOf(separator) + 1);
		return this.states.get(endpoint)?.queue.remove(reservation) ? endpoint : undefined;
	}

	/** Returns the permit of a request that was not dispatched. */
	returnPermit(endpoint: string): void {
		this.states.get(endpoint)?.bucket.returnPermit();
	}

	/** Lists limits that differ from the recorded ones. Drops the state of endpoints that have ended and of cleared limits. */
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

	/** Returns the time until a request may be dispatched, ms; `isDue` if its reservation is due. */
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
