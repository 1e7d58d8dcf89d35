/**
 * Enforces the limits that endpoints report: a request is sent to a limited endpoint only with a claimed permit, and the limits in its
 * answers are reported to the leader.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import {
	LimitHeaderKind, type LimitTimestamp, type PermitClaim, type LimitHeader,
} from 'mastvalve-limits';
import type {FleetView} from '../fleet/fleet-view.js';
import type {EndpointTracker} from '../routing/endpoint-tracker.js';
import type {PermitOutcome} from './limit-batch.js';
import type {LimitClient} from './limit-client.js';

export type EndpointLimiterOptions = {
	view: Pick<FleetView, 'findEndpoint'>;
	tracker: EndpointTracker;
	client: LimitClient;
	/** Monotonic clock, ms. */
	now: () => number;
};

/** How long a limit that this entry received itself stays valid, ms: by then the leader, to which it is reported at once, has distributed it to all entries. Without a leader it stays valid. */
const receivedLimitTtlMs = 2000;

/** Interval between probes of one limited endpoint by all entries together, ms. */
const sharedProbeIntervalMs = 500;

type ReceivedLimit = {perSecond: number; expiresAt: number};

/** Claim of a request for a permit at limited endpoints. */
export type PermitRequest = Omit<PermitClaim, 'endpoints'>;

export class EndpointLimiter {
	/** Limits that this entry received itself, by endpoint id. */
	private readonly receivedLimits = new Map<string, ReceivedLimit>();

	constructor(private readonly options: EndpointLimiterOptions) {}

	/** Limit of an endpoint for all entries together, requests per second; undefined when it has none. */
	findLimit({id, limitPerSecond}: FleetEndpoint): number | undefined {
		const received = this.receivedLimits.get(id);
		if (!received || !this.isValid(received)) {
			return limitPerSecond;
		}

		// It is unknown which of the two is newer; the lower one is safe.
		return Math.min(received.perSecond, limitPerSecond ?? Number.POSITIVE_INFINITY);
	}

	/** Interval at which this entry probes a limited endpoint to detect that its limit has ended, ms: all entries together probe about twice a second. */
	get probeIntervalMs(): number {
		return sharedProbeIntervalMs * (this.options.client.entryCount ?? Number.POSITIVE_INFINITY);
	}

	/** Claims a permit at one of several limited endpoints. An endpoint whose limit has ended always has one. */
	async claim(endpoints: readonly FleetEndpoint[], request: PermitRequest): Promise<PermitOutcome> {
		const limits = endpoints.flatMap(({id}, index): Array<[string, number]> => {
			const perSecond = this.findLimit(endpoints[index]!);
			return perSecond === undefined ? [] : [[id, perSecond]];
		});
		const unlimited = endpoints.find(({id}) => !limits.some(([limited]) => limited === id));
		if (unlimited) {
			return {
				endpoint: unlimited.id, waitMs: 0, reservation: request.reservation, grantedAt: undefined,
			};
		}

		const outcome = await this.options.client.claimPermit({...request, endpoints: endpoints.map(({id}) => id)}, new Map(limits));
		if (outcome.endpoint === undefined) {
			const at = this.options.now() + outcome.waitMs;
			endpoints.forEach(({id}) => {
				this.options.tracker.recordNextPermit(id, at);
			});
		}

		return outcome;
	}

	releaseReservation(reservation: string): void {
		this.options.client.releaseReservation(reservation);
	}

	/** Returns a permit that was not used. */
	returnPermit({id}: FleetEndpoint, grantedAt: LimitTimestamp | undefined): void {
		if (grantedAt) {
			this.options.client.returnPermit(id);
		}
	}

	/** Records the limit in an endpoint's answer, and reports it to the leader if it is new or the answer used a permit. */
	recordReportedLimit(endpoint: FleetEndpoint, limit: LimitHeader, grantedAt: LimitTimestamp | undefined): void {
		const isNew = limit.kind === LimitHeaderKind.Rate && this.recordReceivedLimit(endpoint, limit.perSecond);
		const hasUsedPermit = grantedAt !== undefined && limit.kind !== LimitHeaderKind.Malformed;
		if (isNew || hasUsedPermit) {
			this.options.client.reportLimit({endpoint: endpoint.id, word: limit, grantedAt});
		}
	}

	private isValid({expiresAt}: ReceivedLimit): boolean {
		return this.options.client.isDisconnected || this.options.now() < expiresAt;
	}

	/** Records a limit that this entry received itself; true when neither control nor this entry knew it. */
	private recordReceivedLimit({id, limitPerSecond}: FleetEndpoint, perSecond: number): boolean {
		const now = this.options.now();
		const known = this.options.view.findEndpoint(id)?.limitPerSecond ?? limitPerSecond;
		const received = this.receivedLimits.get(id);
		const isRecorded = received?.perSecond === perSecond && this.isValid(received);
		[...this.receivedLimits].filter(([, each]) => !this.isValid(each)).forEach(([other]) => {
			this.receivedLimits.delete(other);
		});
		this.receivedLimits.set(id, {perSecond, expiresAt: now + receivedLimitTtlMs});
		return known !== perSecond && !isRecorded;
	}
}
