/**
 * Tracks the last heartbeat of each endpoint. These times are not in the log: a new leader restarts the timeout of every endpoint.
 */

import {EndpointPhase, type FleetEndpoint} from 'mastvalve-fleet';

/** Timeouts without a heartbeat, ms. */
export type LivenessTimes = {
	/** After this time, other endpoints are preferred. */
	silentAfterMs: number;
	/** Retention of an endpoint that has left, so that late heartbeats don't add it again. */
	forgetGoneAfterMs: number;
	/** Retention of a silent endpoint; it may be disconnected from control and still serve. */
	forgetSilentAfterMs: number;
};

export class Liveness {
	private readonly lastHeartbeatAt = new Map<string, number>();
	private unforwarded = new Set<string>();

	/** Records heartbeats of endpoints; `now` is monotonic, ms. */
	recordHeartbeats(ids: readonly string[], now: number): void {
		ids.forEach(id => {
			this.lastHeartbeatAt.set(id, now);
			this.unforwarded.add(id);
		});
	}

	/** Returns the endpoints with a heartbeat since the last call. */
	takeUnforwarded(): string[] {
		const ids = [...this.unforwarded];
		this.unforwarded = new Set();
		return ids;
	}

	/** Restarts the timeout of every endpoint. */
	reset(): void {
		this.lastHeartbeatAt.clear();
	}

	/** Lists the ready endpoints whose heartbeats have timed out. */
	listSilent(endpoints: readonly FleetEndpoint[], now: number, {silentAfterMs}: LivenessTimes): string[] {
		return endpoints
			.filter(endpoint => endpoint.phase === EndpointPhase.Ready && this.measureSilenceMs(endpoint.id, now) > silentAfterMs)
			.map(endpoint => endpoint.id);
	}

	/** Lists the endpoints whose retention has ended. */
	listForgettable(endpoints: readonly FleetEndpoint[], now: number, {forgetGoneAfterMs, forgetSilentAfterMs}: LivenessTimes): string[] {
		const limits: Partial<Record<EndpointPhase, number>> = {
			[EndpointPhase.Gone]: forgetGoneAfterMs,
			[EndpointPhase.Silent]: forgetSilentAfterMs,
			[EndpointPhase.Leaving]: forgetSilentAfterMs,
		};
		return endpoints
			.filter(endpoint => this.measureSilenceMs(endpoint.id, now) > (limits[endpoint.phase] ?? Number.POSITIVE_INFINITY))
			.map(endpoint => endpoint.id);
	}

	private measureSilenceMs(id: string, now: number): number {
		const lastHeartbeatAt = this.lastHeartbeatAt.get(id) ?? now;
		this.lastHeartbeatAt.set(id, lastHeartbeatAt);
		return now - lastHeartbeatAt;
	}
}
