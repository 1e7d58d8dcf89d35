/**
 * All endpoints that are remembered, how heartbeats and orders change them, and the feed of those changes.
 *
 * An endpoint goes forward only: once it is leaving or gone, no late heartbeat brings it back. Each change says whether it changed
 * anything. Deterministic; the index is that of the log.
 */

import {applyHoldings, applyReport} from './apply-report.js';
import {ChangeFeed, type FeedPosition} from './change-feed.js';
import {isEarlierIncarnation, parseIncarnation} from './endpoint-incarnation.js';
import {EndpointStore} from './endpoint-store.js';
import type {Holdings, RecordedLimit} from './fleet-command.js';
import {
	EndpointPhase, takesRequests, type EndpointReport, type FleetEndpoint,
} from './fleet-endpoint.js';

/** An endpoint in JSON without its lists, a model that it holds, an adapter or a copy of weights, bytes. */
const endpointBytes = 330;
const heldBytes = 40;
const nameBytes = 14;

const estimateEndpoint = ({holds, inMemory, onDisk}: FleetEndpoint): number => {
	const adapters = holds.reduce((sum, held) => sum + held.adapters.length, 0);
	return endpointBytes + (holds.length * heldBytes) + ((adapters + inMemory.length + onDisk.length) * nameBytes);
};

/** The register. */
export class EndpointRegistry {
	/** What followers read. */
	feed = new ChangeFeed<FleetEndpoint>(estimateEndpoint);
	private readonly store = new EndpointStore();

	/** All endpoints that are not forgotten. */
	list(): FleetEndpoint[] {
		return this.store.list();
	}

	find(id: string): FleetEndpoint | undefined {
		return this.store.find(id);
	}

	/** Begins anew with what a snapshot holds. */
	restore(endpoints: readonly FleetEndpoint[], forgotten: FeedPosition | undefined): void {
		this.store.clear();
		this.feed = new ChangeFeed(estimateEndpoint, forgotten);
		endpoints.forEach(endpoint => {
			this.store.put(endpoint);
		});
		endpoints.toSorted((a, b) => a.revision - b.revision).forEach(endpoint => {
			this.feed.put(endpoint.id, endpoint, endpoint.revision);
		});
	}

	/**
	 * Whether a heartbeat is of an endpoint to use: not the late word of an earlier incarnation. A stranger at the address of an endpoint
	 * ends nobody. The one that is known is believed over an earlier birth only while it is heard: the clock of its machine may have
	 * been set back before the next start.
	 */
	acceptsReport({id}: EndpointReport): boolean {
		const current = this.store.findCurrent(parseIncarnation(id).name);
		const isHeard = current?.phase === EndpointPhase.Ready || current?.phase === EndpointPhase.Leaving;
		return !(isHeard && isEarlierIncarnation(id, current.id));
	}

	/** Takes a heartbeat in. A new incarnation at an address, or of a name, tells that the former one has ended. */
	report(report: EndpointReport, index: number): boolean {
		const known = this.store.find(report.id);
		const former = known ? [] : this.listReplaced(report);
		former.filter(({phase}) => phase !== EndpointPhase.Gone).forEach(({id}) => {
			this.setPhase(id, EndpointPhase.Gone, index);
		});
		const {name} = parseIncarnation(report.id);
		const isTaken = this.replace(applyReport(known, report, index, former.find(({id}) => parseIncarnation(id).name === name)), index);
		return isTaken || former.length > 0;
	}

	/** An endpoint has told that it ends, so what it cut off then is no crash. */
	leave(name: string, index: number): boolean {
		const known = this.store.findCurrent(name);
		return known
			? this.replace({
				...known, phase: EndpointPhase.Gone, isLeaving: true, revision: index,
			}, index)
			: false;
	}

	/** Endpoints that are ready send no heartbeats any more. */
	markSilent(ids: readonly string[], index: number): boolean {
		return ids
			.filter(id => this.store.find(id)?.phase === EndpointPhase.Ready)
			.map(id => this.setPhase(id, EndpointPhase.Silent, index))
			.some(Boolean);
	}

	/** Endpoints that are in use have told entries that they are leaving. */
	markLeaving(ids: readonly string[], index: number): boolean {
		return ids
			.flatMap(id => this.store.find(id) ?? [])
			.filter(endpoint => takesRequests(endpoint))
			.map(endpoint => this.replace({
				...endpoint, phase: EndpointPhase.Leaving, isLeaving: true, revision: index,
			}, index))
			.some(Boolean);
	}

	/**
	 * Forgets endpoints that have ended; others end by this. Followers that know of the end lose nothing, so nothing is
	 * sent again to them.
	 */
	forget(ids: readonly string[], index: number): boolean {
		const known = ids.flatMap(id => this.store.find(id) ?? []);
		return known
			.map(({id, phase}) => {
				if (phase !== EndpointPhase.Gone) {
					return this.setPhase(id, EndpointPhase.Gone, index);
				}

				this.store.drop(id);
				this.feed.forget(id);
				return false;
			})
			.some(Boolean);
	}

	/** Records what an engine holds after an order. */
	recordHoldings(holdings: Holdings, index: number): boolean {
		return this.replace(applyHoldings(this.store.find(holdings.id), holdings, index), index);
	}

	/** Records limits that endpoints have named. What an incarnation has named holds for that one only. */
	recordLimits(limits: readonly RecordedLimit[], index: number): boolean {
		return limits
			.map(({endpoint, perSecond}) => {
				const known = this.store.find(endpoint);
				const isNews = known && known.phase !== EndpointPhase.Gone && known.limitPerSecond !== perSecond;
				return isNews ? this.replace({...known, limitPerSecond: perSecond, revision: index}, index) : false;
			})
			.some(Boolean);
	}

	/** Endpoints whose end the first heartbeat of a new incarnation shows: the ones at its address, and the one of its name. */
	private listReplaced({id, address}: EndpointReport): FleetEndpoint[] {
		const current = this.store.findCurrent(parseIncarnation(id).name);
		return this.list().filter(other => other === current || (other.address === address && other.phase !== EndpointPhase.Gone));
	}

	private setPhase(id: string, phase: EndpointPhase, index: number): boolean {
		const known = this.store.find(id);
		return known ? this.replace({...known, phase, revision: index}, index) : false;
	}

	private replace(endpoint: FleetEndpoint | undefined, index: number): boolean {
		if (!endpoint || endpoint === this.store.find(endpoint.id)) {
			return false;
		}

		this.store.put(endpoint);
		this.feed.put(endpoint.id, endpoint, index);
		return true;
	}
}
