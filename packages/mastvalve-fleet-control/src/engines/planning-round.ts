/**
 * The engines as one round of planning sees them: described once, and again where the round itself has begun something. Describing
 * all of them for each step of a round would be most of its time.
 */

import type {EngineState, FleetEndpoint} from 'mastvalve-fleet';

/** The engines of one round. */
export class PlanningRound {
	private readonly endpoints: ReadonlyMap<string, FleetEndpoint>;
	private readonly states: Map<string, EngineState>;

	constructor(endpoints: readonly FleetEndpoint[], private readonly describe: (endpoint: FleetEndpoint) => EngineState) {
		this.endpoints = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
		this.states = new Map(endpoints.map(endpoint => [endpoint.id, describe(endpoint)]));
	}

	/** All engines, as they are after what the round has begun. */
	get engines(): EngineState[] {
		return [...this.states.values()];
	}

	/** The round has begun something at an engine. */
	refresh(id: string): void {
		const endpoint = this.endpoints.get(id);
		if (endpoint) {
			this.states.set(id, this.describe(endpoint));
		}
	}
}
