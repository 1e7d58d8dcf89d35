/**
 * An entry's view of the fleet. It keeps the latest state while control is unreachable.
 */

import {
	continuesStreams, EndpointPhase, takesRequests, type FleetEndpoint, type FleetCursor, type FleetUpdate, type QuarantineChange,
} from 'mastvalve-fleet';
import {ReleaseHistory} from './release-history.js';
import {ConfigurationAssembler, type ActiveConfiguration} from './active-configuration.js';

/** Groups the endpoints that accept new requests by service. */
const groupAvailableByService = (endpoints: readonly FleetEndpoint[]): Map<string, FleetEndpoint[]> =>
	endpoints
		.filter(endpoint => takesRequests(endpoint))
		.reduce((groups, endpoint) => {
			const group = groups.get(endpoint.service) ?? [];
			group.push(endpoint);
			return groups.set(endpoint.service, group);
		}, new Map<string, FleetEndpoint[]>());

export class FleetView {
	/** Revision of the state that the latest update was read from; -1 before the first one. */
	revision = -1;
	configuration: ActiveConfiguration | undefined;
	/** Whether the view has been up to date at some time since the start. */
	isSynced = false;
	/** Position up to which changes have been received. */
	cursor: FleetCursor = {};
	/** Whether all endpoints as of some time are known, rather than only the first pages of them. */
	hasAllEndpoints = false;
	/** When control was last heard, monotonic ms. */
	heardAt = Number.NEGATIVE_INFINITY;
	/** Number of the newest crash of an endpoint that control has recorded. */
	crashCount = 0;
	private readonly releases = new ReleaseHistory();
	/** Whether a state is arriving that lacks endpoints of which nothing else says that they have ended. */
	private isReceivingAll = false;
	private readonly assembler = new ConfigurationAssembler();
	private readonly endpoints = new Map<string, FleetEndpoint>();
	/** When this entry was notified that a request or a part of prompts is quarantined, by fingerprint; monotonic ms. */
	private readonly quarantineTimes = new Map<string, number>();
	/** What crashes count against, by fingerprint. */
	private readonly suspicions = new Map<string, QuarantineChange>();
	private availableByService = new Map<string, FleetEndpoint[]>();
	/** Models that are being loaded, with the expected end, by endpoint; monotonic ms. */
	private readonly expectedLoads = new Map<string, {model: string; at: number}>();
	private readonly listeners = new Set<() => void>();

	constructor(private readonly now: () => number) {}

	/**
	 * Applies an update that follows the view's cursor. `isNewest` is whether it was read from the newest state; the view is
	 * synced once it has received the last page of such a state.
	 */
	apply({revision, endpoints, configuration, quarantine, crashCount = 0}: FleetUpdate, isNewest = false): void {
		const hasChanges = [endpoints, configuration, quarantine].some(part => part.isWhole || part.changes.length > 0);
		this.revision = revision;
		this.heardAt = this.now();
		this.crashCount = Math.max(this.crashCount, crashCount);
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

	/** Returns the endpoints of a service that accept new requests, or the rests of streams that a release began. */
	listEndpoints(service: string, release?: string): FleetEndpoint[] {
		const endpoints = this.availableByService.get(service) ?? [];
		return release === undefined ? endpoints : endpoints.filter(endpoint => continuesStreams(endpoint, release));
	}

	/** Returns when a model is first expected to be loaded at an endpoint of a service, or of one release of it, monotonic ms; undefined if none loads it. */
	findModelReadyAt(service: string, model: string, release?: string): number | undefined {
		const readyTimes = this.listEndpoints(service, release)
			.flatMap(({id}) => this.expectedLoads.get(id) ?? [])
			.filter(load => load.model === model)
			.map(({at}) => at);
		return readyTimes.length === 0 ? undefined : Math.min(...readyTimes);
	}

	/** Returns the endpoints of a service that serve, or that have ended within the time that a stream lasts. */
	listRecentEndpoints(service: string): Array<Pick<FleetEndpoint, 'id' | 'release'>> {
		return this.releases.list(service, this.now());
	}

	/** Whether these endpoints have several releases. */
	hasSeveralReleases(service: string): boolean {
		return this.releases.isMixed(service, this.now());
	}

	findEndpoint(id: string): FleetEndpoint | undefined {
		return this.endpoints.get(id);
	}

	/** Whether an endpoint is known and not gone. */
	hasEndpoint(id: string): boolean {
		return this.endpoints.has(id);
	}

	/** Whether an endpoint accepts new requests, according to control. */
	isAvailable(id: string): boolean {
		const endpoint = this.endpoints.get(id);
		return endpoint !== undefined && takesRequests(endpoint);
	}

	/** Returns when this entry was notified that a request or a part of prompts is quarantined, monotonic ms; undefined if it isn't. */
	findQuarantinedAt(fingerprint: string): number | undefined {
		return this.quarantineTimes.get(fingerprint);
	}

	/** Returns the crashes that count against a request or a part of prompts; undefined if there are none. */
	findSuspicion(fingerprint: string): QuarantineChange | undefined {
		return this.suspicions.get(fingerprint);
	}

	listSuspicions(): QuarantineChange[] {
		return [...this.suspicions.values()];
	}

	/** Calls a listener after each change until the returned function is called. */
	subscribe(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	private applyQuarantine({isWhole, changes}: FleetUpdate['quarantine']): void {
		if (isWhole) {
			this.quarantineTimes.clear();
			this.suspicions.clear();
		}

		changes.forEach(change => {
			const {fingerprint, isQuarantined, crashes} = change;
			if (isQuarantined) {
				this.quarantineTimes.set(fingerprint, this.quarantineTimes.get(fingerprint) ?? this.now());
			} else {
				this.quarantineTimes.delete(fingerprint);
			}

			if (crashes) {
				this.suspicions.set(fingerprint, change);
			} else {
				this.suspicions.delete(fingerprint);
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
			this.releases.record(endpoint, endpoint.phase === EndpointPhase.Gone, this.now());
			if (endpoint.phase === EndpointPhase.Gone) {
				this.endpoints.delete(endpoint.id);
				this.expectedLoads.delete(endpoint.id);
			} else {
				this.endpoints.set(endpoint.id, endpoint);
				this.recordLoad(endpoint);
			}
		});
		this.isReceivingAll ||= isWhole;
		if (isLast && this.isReceivingAll) {
			this.isReceivingAll = false;
			this.releases.retain(id => this.endpoints.has(id), this.now());
		}

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
