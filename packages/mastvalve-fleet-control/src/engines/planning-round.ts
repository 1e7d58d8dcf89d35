/**
 * The engine states used in one planning round. Each engine is described once, and again only after the round has started a
 * move there: describing all engines at every step would take most of the round's time.
 */

import type {EngineState, FleetEndpoint} from 'mastvalve-fleet';

export class PlanningRound {
	private readonly endpoints: ReadonlyMap<string, FleetEndpoint>;
	private readonly states: Map<string, EngineState>;

	constructor(endpoints: readonly FleetEndpoint[], private readonly describe: (endpoint: FleetEndpoint) => EngineState) {
		this.endpoints = new Map(endpoints.map(endpoint => [endpoint.id, endpoint]));
		this.states = new Map(endpoints.map(endpoint => [endpoint.id, describe(endpoint)]));
	}

	/** States of all engines, including the moves that this round has started. */
	get engines(): EngineState[] {
		return [...this.states.values()];
	}

	/** Describes an engine again after the round has started a move there. */
	refresh(id: string): void {
		const endpoint = this.endpoints.get(id);
		if (endpoint) {
			this.states.set(id, this.describe(endpoint));
		}
	}
}
