/**
 * Registry of all known endpoints: applies heartbeats and orders, and feeds the resulting changes to followers.
 *
 * Phases only advance: once an endpoint is leaving or gone, no late heartbeat reverts that. Each operation returns whether it
 * changed the state. Deterministic; `index` is the log index.
 */

import {applyHoldings, applyReport} from './apply-report.js';
import {ChangeFeed, type FeedPosition} from './change-feed.js';
import {isEarlierIncarnation, parseIncarnation} from './endpoint-incarnation.js';
import {EndpointStore} from './endpoint-store.js';
import type {Holdings, RecordedLimit} from './fleet-command.js';
import {
	EndpointPhase, takesRequests, type EndpointReport, type FleetEndpoint,
} from './fleet-endpoint.js';

/** Size in JSON of an endpoint without its lists, of a held model, and of an adapter or a copy of weights, bytes. */
const endpointBytes = 330;
const heldBytes = 40;
const nameBytes = 14;

const estimateEndpoint = ({holds, inMemory, onDisk}: FleetEndpoint): number => {
	const adapters = holds.reduce((sum, held) => sum + held.adapters.length, 0);
	return endpointBytes + (holds.length * heldBytes) + ((adapters + inMemory.length + onDisk.length) * nameBytes);
};

export class EndpointRegistry {
	/** Feed that followers read. */
	feed = new ChangeFeed<FleetEndpoint>(estimateEndpoint);
	private readonly store = new EndpointStore();

	/** Returns all endpoints that are not forgotten. */
	list(): FleetEndpoint[] {
		return this.store.list();
	}

	find(id: string): FleetEndpoint | undefined {
		return this.store.find(id);
	}

	/** Replaces the state by that of a snapshot. */
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
	 * Whether a heartbeat is accepted: it must not be a late one of an earlier incarnation. A rejected heartbeat from the address
	 * of another endpoint does not end that one. The known incarnation takes precedence over one with an earlier start time only
	 * while it sends heartbeats, since the clock of its machine may have been set back before a restart.
	 */
	acceptsReport({id}: EndpointReport): boolean {
		const current = this.store.findCurrent(parseIncarnation(id).name);
		const isReporting = current?.phase === EndpointPhase.Ready || current?.phase === EndpointPhase.Leaving;
		return !(isReporting && isEarlierIncarnation(id, current.id));
	}

	/** Applies a heartbeat. A new incarnation at an address, or of a name, shows that the former one has ended. */
	report(report: EndpointReport, index: number): boolean {
		const known = this.store.find(report.id);
		const former = known ? [] : this.listReplaced(report);
		former.filter(({phase}) => phase !== EndpointPhase.Gone).forEach(({id}) => {
			this.setPhase(id, EndpointPhase.Gone, index);
		});
		const {name} = parseIncarnation(report.id);
		const isApplied = this.replace(applyReport(known, report, index, former.find(({id}) => parseIncarnation(id).name === name)), index);
		return isApplied || former.length > 0;
	}

	/** Marks an endpoint as gone that reported its end, so requests that it then interrupts don't count as a crash. */
	leave(name: string, index: number): boolean {
		const known = this.store.findCurrent(name);
		return known
			? this.replace({
				...known, phase: EndpointPhase.Gone, isLeaving: true, revision: index,
			}, index)
			: false;
	}

	/** Marks ready endpoints that no longer send heartbeats. */
	markSilent(ids: readonly string[], index: number): boolean {
		return ids
			.filter(id => this.store.find(id)?.phase === EndpointPhase.Ready)
			.map(id => this.setPhase(id, EndpointPhase.Silent, index))
			.some(Boolean);
	}

	/** Marks endpoints in use whose answers to entries said that they are leaving. */
	markLeaving(ids: readonly string[], index: number): boolean {
		return ids
			.flatMap(id => this.store.find(id) ?? [])
			.filter(endpoint => takesRequests(endpoint))
			.map(endpoint => this.replace({
				...endpoint, phase: EndpointPhase.Leaving, isLeaving: true, revision: index,
			}, index))
			.some(Boolean);
	}

	/** Marks endpoints at whose addresses nobody listens. A heartbeat doesn't revert that, since it may have been sent before. */
	markCrashed(ids: readonly string[], index: number): boolean {
		return ids
			.flatMap(id => this.store.find(id) ?? [])
			.filter(({phase, hasCrashed}) => phase !== EndpointPhase.Gone && hasCrashed !== true)
			.map(endpoint => this.replace({...endpoint, hasCrashed: true, revision: index}, index))
			.some(Boolean);
	}

	/** Reverts the marks of endpoints that have turned out to be alive. */
	refuteCrashes(ids: readonly string[], index: number): boolean {
		return ids
			.flatMap(id => this.store.find(id) ?? [])
			.filter(({phase, hasCrashed}) => phase !== EndpointPhase.Gone && hasCrashed === true)
			.map(({hasCrashed: _, ...endpoint}) => this.replace({...endpoint, revision: index}, index))
			.some(Boolean);
	}

	/**
	 * Forgets endpoints that are gone, and marks others as gone. Followers that have read the end hold nothing obsolete, so nothing is
	 * sent to them again.
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

	/** Records the models and adapters that an engine holds after an order. */
	recordHoldings(holdings: Holdings, index: number): boolean {
		return this.replace(applyHoldings(this.store.find(holdings.id), holdings, index), index);
	}

	/** Records limits that endpoints have announced. A limit holds only for the incarnation that announced it. */
	recordLimits(limits: readonly RecordedLimit[], index: number): boolean {
		return limits
			.map(({endpoint, perSecond}) => {
				const known = this.store.find(endpoint);
				const isChanged = known && known.phase !== EndpointPhase.Gone && known.limitPerSecond !== perSecond;
				return isChanged ? this.replace({...known, limitPerSecond: perSecond, revision: index}, index) : false;
			})
			.some(Boolean);
	}

	/** Returns the endpoints that the first heartbeat of a new incarnation shows to have ended: those at its address, and the former one of its name. */
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
