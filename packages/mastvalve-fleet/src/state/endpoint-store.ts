/**
 * All endpoints that are remembered, by the identities of their lives, and which life of each name is the newest.
 */

import {isEarlierLife, parseLife} from './endpoint-life.js';
import type {FleetEndpoint} from './fleet-endpoint.js';

/** The store. */
export class EndpointStore {
	private readonly byId = new Map<string, FleetEndpoint>();
	private readonly newest = new Map<string, string>();

	find(id: string): FleetEndpoint | undefined {
		return this.byId.get(id);
	}

	has(id: string): boolean {
		return this.byId.has(id);
	}

	list(): FleetEndpoint[] {
		return [...this.byId.values()];
	}

	/** Identity of the newest life of an endpoint, by its name. */
	newestOf(name: string): string | undefined {
		return this.newest.get(name);
	}

	put(endpoint: FleetEndpoint): void {
		this.byId.set(endpoint.id, endpoint);
		const {name} = parseLife(endpoint.id);
		const newest = this.newest.get(name);
		if (newest === undefined || isEarlierLife(newest, endpoint.id)) {
			this.newest.set(name, endpoint.id);
		}
	}

	drop(id: string): void {
		this.byId.delete(id);
		const {name} = parseLife(id);
		if (this.newest.get(name) === id) {
			this.newest.delete(name);
		}
	}

	clear(): void {
		this.byId.clear();
		this.newest.clear();
	}
}
