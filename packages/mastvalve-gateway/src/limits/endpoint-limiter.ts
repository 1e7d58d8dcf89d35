/**
 * Keeps to the limits that endpoints name: a request goes to such an endpoint only with a permit that was claimed, and what its answers
 * say is told to the leader.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {
	LimitHeaderKind, type LimitTimestamp, type PermitClaim, type LimitHeader,
} from 'mastvalve-limits';
import type {FleetView} from '../fleet/fleet-view.js';
import type {EndpointTracker} from '../routing/endpoint-tracker.js';
import type {HandoverOutcome} from './limit-batch.js';
import type {LimitClient} from './limit-client.js';

/** What it is made from. */
export type EndpointLimiterOptions = {
	view: Pick<FleetView, 'find'>;
	board: EndpointTracker;
	client: LimitClient;
	/** Monotonic, ms. */
	now: () => number;
};

/** A limit that this entry has heard itself holds here for this long, ms: until the leader, which hears it at once, has told all. Without a leader it holds on. */
const ownWordMs = 2000;

/** Pause between probes of one limited endpoint by all entries together, ms. */
const probeMs = 500;

type OwnWord = {perSecond: number; until: number};

/** What a request asks of limited endpoints. */
export type HandoverWish = Omit<PermitClaim, 'endpoints'>;

/** The limiter. */
export class EndpointLimiter {
	/** Limits that this entry has heard itself, by endpoint. */
	private readonly own = new Map<string, OwnWord>();

	constructor(private readonly options: EndpointLimiterOptions) {}

	/** Requests a second that an endpoint takes from all entries together; undefined when it has named no limit. */
	limitOf({id, limitPerSecond}: FleetEndpoint): number | undefined {
		const own = this.own.get(id);
		if (!own || !this.isValid(own)) {
			return limitPerSecond;
		}

		// Which of the two is newer can't be told; the lower one harms nobody.
		return Math.min(own.perSecond, limitPerSecond ?? Number.POSITIVE_INFINITY);
	}

	/** How often this entry asks a limited endpoint to learn whether its limit is over, ms: all entries together about twice a second. */
	get probePauseMs(): number {
		return probeMs * (this.options.client.entries ?? Number.POSITIVE_INFINITY);
	}

	/** Claims a permit at one of several limited endpoints. One whose limit is over has a permit at any time. */
	async claim(endpoints: readonly FleetEndpoint[], wish: HandoverWish): Promise<HandoverOutcome> {
		const limits = endpoints.flatMap(({id}, index): Array<[string, number]> => {
			const perSecond = this.limitOf(endpoints[index]!);
			return perSecond === undefined ? [] : [[id, perSecond]];
		});
		const unlimited = endpoints.find(({id}) => !limits.some(([limited]) => limited === id));
		if (unlimited) {
			return {
				endpoint: unlimited.id, waitMs: 0, reservation: wish.reservation, grantedAt: undefined,
			};
		}

		const outcome = await this.options.client.claimHandover({...wish, endpoints: endpoints.map(({id}) => id)}, new Map(limits));
		if (outcome.endpoint === undefined) {
			const at = this.options.now() + outcome.waitMs;
			endpoints.forEach(({id}) => {
				this.options.board.recordNextPermit(id, at);
			});
		}

		return outcome;
	}

	/** A request waits no more. */
	release(reservation: string): void {
		this.options.client.releaseHandover(reservation);
	}

	/** A permit that was claimed is not used. */
	giveBack({id}: FleetEndpoint, grantedAt: LimitTimestamp | undefined): void {
		if (grantedAt) {
			this.options.client.giveBackHandover(id);
		}
	}

	/** Hears what an answer of an endpoint says. */
	hear(endpoint: FleetEndpoint, word: LimitHeader, grantedAt: LimitTimestamp | undefined): void {
		const isNews = word.kind === LimitHeaderKind.Rate && this.noteOwn(endpoint, word.perSecond);
		const isAsked = grantedAt !== undefined && word.kind !== LimitHeaderKind.Malformed;
		if (isNews || isAsked) {
			this.options.client.tell({endpoint: endpoint.id, word, grantedAt});
		}
	}

	private isValid({until}: OwnWord): boolean {
		return this.options.client.isDisconnected || this.options.now() < until;
	}

	/** Whether control and this entry itself did not know this limit. */
	private noteOwn({id, limitPerSecond}: FleetEndpoint, perSecond: number): boolean {
		const now = this.options.now();
		const known = this.options.view.find(id)?.limitPerSecond ?? limitPerSecond;
		const own = this.own.get(id);
		const isOwn = own?.perSecond === perSecond && this.isValid(own);
		[...this.own].filter(([, each]) => !this.isValid(each)).forEach(([other]) => {
			this.own.delete(other);
		});
		this.own.set(id, {perSecond, until: now + ownWordMs});
		return known !== perSecond && !isOwn;
	}
}
