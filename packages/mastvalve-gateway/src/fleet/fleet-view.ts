/**
 * What an entry knows of the fleet. Without news from control it keeps what it has.
 */

import {
	EndpointPhase, takesRequests, type FleetEndpoint, type FleetCursor, type FleetUpdate,
} from 'mastvalve-fleet';
import {ConfigurationAssembler, type ActiveConfiguration} from './active-configuration.js';

/** Endpoints that take new requests, by service. */
const groupAvailableByService = (endpoints: readonly FleetEndpoint[]): Map<string, FleetEndpoint[]> =>
	endpoints
		.filter(endpoint => takesRequests(endpoint))
		.reduce((groups, endpoint) => {
			const group = groups.get(endpoint.service) ?? [];
			group.push(endpoint);
			return groups.set(endpoint.service, group);
		}, new Map<string, FleetEndpoint[]>());

/** The view. */
export class FleetView {
	/** Revision of the state of which the last part was taken; -1 before the first. */
	revision = -1;
	configuration: ActiveConfiguration | undefined;
	/** Whether the view was the newest at some moment since the start. */
	isSynced = false;
	/** How far the changes are known. */
	cursor: FleetCursor = {};
	/** Whether all endpoints of some moment are known, and not just the first part of them. */
	hasAllEndpoints = false;
	private readonly assembler = new ConfigurationAssembler();
	private readonly endpoints = new Map<string, FleetEndpoint>();
	/** When this entry learned that a request is quarantined, by fingerprint; monotonic ms. */
	private readonly quarantineTimes = new Map<string, number>();
	private availableByService = new Map<string, FleetEndpoint[]>();
	/** When loads are expected to end, by endpoint; monotonic ms. */
	private readonly expectedLoads = new Map<string, {model: string; at: number}>();
	private readonly listeners = new Set<() => void>();

	constructor(private readonly now: () => number) {}

	/**
	 * Takes in what follows the view's place. `isNewest` says that it was taken from the newest state; the view is synced
	 * once it has all of one such.
	 */
	apply({revision, endpoints, configuration, quarantine}: FleetUpdate, isNewest = false): void {
		const hasChanges = [endpoints, configuration, quarantine].some(part => part.isWhole || part.changes.length > 0);
		this.revision = revision;
		this.cursor = {endpoints: endpoints.cursor, configuration: configuration.cursor, quarantine: quarantine.cursor};
		this.applyEndpoints(endpoints);
		this.applyQuarantine(quarantine);
		this.configuration = this.assembler.applyPage(configuration) ?? this.configuration;
		const wasSynced = this.isSynced;
		this.isSynced ||= isNewest && endpoints.isLast && configuration.isLast && quarantine.isLast;
		if (hasChanges || this.isSynced !== wasSynced) {
			[...this.listeners].forEach(listener => {
				listener();
			});
		}
	}

	/** Endpoints of a service that take new requests. */
	listEndpoints(service: string): FleetEndpoint[] {
		return this.availableByService.get(service) ?? [];
	}

	/** When a model is expected at some endpoint of a service; monotonic ms. Undefined when no load is under way. */
	findModelReadyAt(service: string, model: string): number | undefined {
		const readyTimes = this.listEndpoints(service)
			.flatMap(({id}) => this.expectedLoads.get(id) ?? [])
			.filter(load => load.model === model)
			.map(({at}) => at);
		return readyTimes.length === 0 ? undefined : Math.min(...readyTimes);
	}

	findEndpoint(id: string): FleetEndpoint | undefined {
		return this.endpoints.get(id);
	}

	/** Endpoints that are not gone. */
	hasEndpoint(id: string): boolean {
		return this.endpoints.has(id);
	}

	/** Whether an endpoint takes new requests as far as control knows. */
	isAvailable(id: string): boolean {
		const endpoint = this.endpoints.get(id);
		return endpoint !== undefined && takesRequests(endpoint);
	}

	/** When this entry learned that a request is quarantined; monotonic ms. Undefined when it isn't. */
	findQuarantinedAt(fingerprint: string): number | undefined {
		return this.quarantineTimes.get(fingerprint);
	}

	/** Calls back on news until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	private applyQuarantine({isWhole, changes}: FleetUpdate['quarantine']): void {
		if (isWhole) {
			this.quarantineTimes.clear();
		}

		changes.forEach(({fingerprint, isQuarantined}) => {
			if (isQuarantined) {
				this.quarantineTimes.set(fingerprint, this.now());
			} else {
				this.quarantineTimes.delete(fingerprint);
			}
		});
	}

	private applyEndpoints({isWhole, changes, isLast}: FleetUpdate['endpoints']): void {
		this.hasAllEndpoints = isLast;
		if (isWhole) {
			this.endpoints.clear();
			this.expectedLoads.clear();
		}

		changes.forEach(endpoint => {
			if (endpoint.phase === EndpointPhase.Gone) {
				this.endpoints.delete(endpoint.id);
				this.expectedLoads.delete(endpoint.id);
			} else {
				this.endpoints.set(endpoint.id, endpoint);
				this.recordLoad(endpoint);
			}
		});
		if (isWhole || changes.length > 0) {
			this.availableByService = groupAvailableByService([...this.endpoints.values()]);
		}
	}

	private recordLoad({id, loading}: FleetEndpoint): void {
		if (!loading) {
			this.expectedLoads.delete(id);
		} else if (this.expectedLoads.get(id)?.model !== loading.model) {
			this.expectedLoads.set(id, {model: loading.model, at: this.now() + loading.expectedMs});
		}
	}
}
