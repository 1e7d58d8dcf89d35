/**
 * Stores all known endpoints by incarnation identity, and the most recently registered incarnation of each name.
 */

import {parseIncarnation} from './endpoint-incarnation.js';
import type {FleetEndpoint} from './fleet-endpoint.js';

export class EndpointStore {
	private readonly byId = new Map<string, FleetEndpoint>();
	/** Identity of the most recently registered incarnation, by name. */
	private readonly current = new Map<string, string>();

	find(id: string): FleetEndpoint | undefined {
		return this.byId.get(id);
	}

	has(id: string): boolean {
		return this.byId.has(id);
	}

	/** Returns all endpoints in registration order. */
	list(): FleetEndpoint[] {
		return [...this.byId.values()];
	}

	/** Returns the most recently registered incarnation of an endpoint. */
	findCurrent(name: string): FleetEndpoint | undefined {
		const id = this.current.get(name);
		return id === undefined ? undefined : this.byId.get(id);
	}

	put(endpoint: FleetEndpoint): void {
		const isNew = !this.byId.has(endpoint.id);
		this.byId.set(endpoint.id, endpoint);
		if (isNew) {
			this.current.set(parseIncarnation(endpoint.id).name, endpoint.id);
		}
	}

	drop(id: string): void {
		this.byId.delete(id);
		const {name} = parseIncarnation(id);
		if (this.current.get(name) === id) {
			this.current.delete(name);
		}
	}

	clear(): void {
		this.byId.clear();
		this.current.clear();
	}
}
