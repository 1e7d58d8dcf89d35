/**
 * What an entry knows of the fleet. Without news from control it keeps what it has.
 */

import {
	EndpointPhase, type FleetEndpoint, type FleetUpdate, type ServingConfiguration,
} from 'mastvalve-fleet';

/** Endpoints that take new requests, by service. */
const groupByService = (endpoints: readonly FleetEndpoint[]): Map<string, FleetEndpoint[]> =>
	endpoints
		.filter(({phase}) => phase === EndpointPhase.Ready || phase === EndpointPhase.Silent)
		.reduce((groups, endpoint) => groups.set(endpoint.service, [...(groups.get(endpoint.service) ?? []), endpoint]), new Map<string, FleetEndpoint[]>());

/** The view. */
export class FleetView {
	revision = -1;
	configuration: ServingConfiguration | undefined;
	/** Whether the view was the newest at some moment since the start. */
	isSynced = false;
	private readonly endpoints = new Map<string, FleetEndpoint>();
	private byService = new Map<string, FleetEndpoint[]>();
	/** When loads are expected to end, by endpoint; monotonic ms. */
	private readonly loadEnds = new Map<string, {model: string; at: number}>();
	private readonly listeners = new Set<() => void>();

	constructor(private readonly now: () => number) {}

	/** Takes an update in; one that is older than the view changes nothing. */
	apply(update: FleetUpdate): void {
		if (update.revision < this.revision) {
			return;
		}

		if (update.isWhole) {
			this.endpoints.clear();
			this.loadEnds.clear();
		}

		update.endpoints.forEach(endpoint => {
			this.endpoints.set(endpoint.id, endpoint);
			this.noteLoad(endpoint);
		});
		const isNewer = update.configuration && update.configuration.version > (this.configuration?.version ?? -1);
		this.configuration = isNewer ? update.configuration : this.configuration;
		this.byService = groupByService([...this.endpoints.values()]);
		const isNews = update.revision > this.revision;
		this.revision = update.revision;
		if (isNews) {
			[...this.listeners].forEach(listener => {
				listener();
			});
		}
	}

	/** Endpoints of a service that take new requests. */
	listEndpoints(service: string): FleetEndpoint[] {
		return this.byService.get(service) ?? [];
	}

	/** When a model is expected at some endpoint of a service; monotonic ms. Undefined when no load is under way. */
	expectModel(service: string, model: string): number | undefined {
		const ends = this.listEndpoints(service)
			.flatMap(({id}) => this.loadEnds.get(id) ?? [])
			.filter(load => load.model === model)
			.map(({at}) => at);
		return ends.length === 0 ? undefined : Math.min(...ends);
	}

	/** Endpoints that are not gone. */
	knows(id: string): boolean {
		return this.endpoints.has(id);
	}

	/** Calls back on news until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	private noteLoad({id, loading}: FleetEndpoint): void {
		if (!loading) {
			this.loadEnds.delete(id);
		} else if (this.loadEnds.get(id)?.model !== loading.model) {
			this.loadEnds.set(id, {model: loading.model, at: this.now() + loading.expectedMs});
		}
	}
}
