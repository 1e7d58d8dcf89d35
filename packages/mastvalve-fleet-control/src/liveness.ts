/**
 * When each endpoint was last heard of. It is not in the log: a new leader gives every endpoint a fresh start.
 */

import {EndpointPhase, type FleetEndpoint} from 'mastvalve-fleet';

/** Times after which something is made of silence, ms. */
export type LivenessTimes = {
	/** Other endpoints are preferred from then on. */
	silentAfterMs: number;
	/** An endpoint that has ended is remembered this long, against late heartbeats. */
	forgetGoneAfterMs: number;
	/** A silent one is remembered this long; it may be cut off from control and still serve. */
	forgetSilentAfterMs: number;
};

/** Knows who has been heard. */
export class Liveness {
	private readonly heardAt = new Map<string, number>();
	private fresh = new Set<string>();

	/** Hears of endpoints. */
	recordHeartbeats(ids: readonly string[], now: number): void {
		ids.forEach(id => {
			this.heardAt.set(id, now);
			this.fresh.add(id);
		});
	}

	/** Who was heard since the last call. */
	takeUnforwarded(): string[] {
		const ids = [...this.fresh];
		this.fresh = new Set();
		return ids;
	}

	/** Gives every endpoint a fresh start. */
	reset(): void {
		this.heardAt.clear();
	}

	/** Ready endpoints that have been silent. */
	listSilent(endpoints: readonly FleetEndpoint[], now: number, {silentAfterMs}: LivenessTimes): string[] {
		return endpoints
			.filter(endpoint => endpoint.phase === EndpointPhase.Ready && this.silenceOf(endpoint.id, now) > silentAfterMs)
			.map(endpoint => endpoint.id);
	}

	/** Endpoints that need not be remembered any more. */
	listForgettable(endpoints: readonly FleetEndpoint[], now: number, {forgetGoneAfterMs, forgetSilentAfterMs}: LivenessTimes): string[] {
		const limits: Partial<Record<EndpointPhase, number>> = {
			[EndpointPhase.Gone]: forgetGoneAfterMs,
			[EndpointPhase.Silent]: forgetSilentAfterMs,
			[EndpointPhase.Leaving]: forgetSilentAfterMs,
		};
		return endpoints
			.filter(endpoint => this.silenceOf(endpoint.id, now) > (limits[endpoint.phase] ?? Number.POSITIVE_INFINITY))
			.map(endpoint => endpoint.id);
	}

	private silenceOf(id: string, now: number): number {
		const heardAt = this.heardAt.get(id) ?? now;
		this.heardAt.set(id, heardAt);
		return now - heardAt;
	}
}
