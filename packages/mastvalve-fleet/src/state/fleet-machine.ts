/**
 * The fleet's state machine: the configuration in force and all endpoints. Deterministic; driven by the replicated log.
 *
 * A configuration replaces only one with a lower version. An endpoint goes forward only: once it is leaving or gone,
 * no late heartbeat brings it back.
 */

import {assumeType} from 'mastvalve-utils';
import {ConfigurationHistory, type HistorySnapshot} from '../configuration/configuration-history.js';
import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import {CrashHistory, type CrashSnapshot} from '../quarantine/crash-history.js';
import type {CrashReport} from '../quarantine/crash-report.js';
import {applyHoldings, applyReport, isNews} from './apply-report.js';
import {ChangeFeed, type FeedPlace} from './change-feed.js';
import {FleetCommandKind, type FleetCommand, type RecordedLimit} from './fleet-command.js';
import {EndpointPhase, type EndpointReport, type FleetEndpoint} from './fleet-endpoint.js';
import {isEarlierIncarnation, parseIncarnation} from './endpoint-incarnation.js';
import {EndpointStore} from './endpoint-store.js';
import type {FleetPlace, FleetUpdate} from './fleet-update.js';

/** The state as plain data. */
export type FleetSnapshot = {
	stated: StatedConfiguration | undefined;
	configuredAt: number;
	/** Missing in snapshots of earlier versions. */
	history?: HistorySnapshot;
	/** Up to where endpoints were forgotten; missing in snapshots of earlier versions. */
	forgotten?: FeedPlace;
	endpoints: FleetEndpoint[];
	orderHolder: string | undefined;
	/** Missing in snapshots of earlier versions. */
	crashes?: CrashSnapshot;
};

/** An endpoint in JSON without its lists, a model that it holds, an adapter or a copy of weights, bytes. */
const endpointBytes = 330;
const heldBytes = 40;
const nameBytes = 14;

const estimateEndpoint = ({holds, inMemory, onDisk}: FleetEndpoint): number => {
	const adapters = holds.reduce((sum, held) => sum + held.adapters.length, 0);
	return endpointBytes + (holds.length * heldBytes) + ((adapters + inMemory.length + onDisk.length) * nameBytes);
};

/** The state machine. */
export class FleetMachine {
	/** Log index of the last change. */
	revision = 0;
	private stated: StatedConfiguration | undefined;
	private configuredAt = 0;
	/** The control instance that gives orders to engines. */
	private orderHolder: string | undefined;
	private readonly endpoints = new EndpointStore();
	private changes = new ChangeFeed<FleetEndpoint>(estimateEndpoint);
	private history = new ConfigurationHistory();
	private crashes = new CrashHistory();

	constructor(private readonly onChange: () => void = () => undefined) {}

	get configuration(): StatedConfiguration | undefined {
		return this.stated;
	}

	/** All endpoints that are not forgotten. */
	list(): FleetEndpoint[] {
		return this.endpoints.list();
	}

	find(id: string): FleetEndpoint | undefined {
		return this.endpoints.find(id);
	}

	/**
	 * Whether a heartbeat is of an endpoint to use: not the late word of an earlier incarnation, and of a service that the configuration
	 * names. A stranger at the address of an endpoint ends nobody. The one that is known is believed over an earlier birth only while it is heard: the
	 * clock of its machine may have been set back before the next start.
	 */
	mayTake({id, service}: EndpointReport): boolean {
		const services = this.stated?.configuration.services;
		const isServed = services === undefined || services.some(({name}) => name === service);
		const current = this.endpoints.findCurrent(parseIncarnation(id).name);
		const isHeard = current?.phase === EndpointPhase.Ready || current?.phase === EndpointPhase.Leaving;
		return isServed && !(isHeard && isEarlierIncarnation(id, current.id));
	}

	/** Whether a heartbeat says anything that the state doesn't; only then it needs the log. */
	isNews(report: EndpointReport): boolean {
		return this.mayTake(report) && isNews(this.endpoints.find(report.id), report);
	}

	/** Requests that are not handed to any endpoint, by their fingerprints. */
	listQuarantined(): string[] {
		return this.crashes.listQuarantined();
	}

	/** Applies a command. The result is the version held for a configuration, and what is quarantined for crashes. */
	apply(command: unknown, index: number): unknown {
		const before = this.revision;
		const result = this.applyCommand(assumeType<FleetCommand>(command), index);
		if (this.revision !== before) {
			this.onChange();
		}

		return result;
	}

	takeSnapshot(): FleetSnapshot {
		return {
			stated: this.stated, configuredAt: this.configuredAt, history: this.history.takeSnapshot(), forgotten: this.changes.forgottenUpTo, endpoints: this.list(), orderHolder: this.orderHolder, crashes: this.crashes.takeSnapshot(),
		};
	}

	restoreSnapshot(data: unknown, index: number): void {
		const snapshot = assumeType<FleetSnapshot>(data);
		this.stated = snapshot.stated;
		this.configuredAt = snapshot.configuredAt;
		this.history = ConfigurationHistory.restore(snapshot.stated?.configuration, snapshot.configuredAt, snapshot.history);
		this.orderHolder = snapshot.orderHolder;
		this.crashes = CrashHistory.restore(snapshot.crashes);
		this.endpoints.clear();
		this.changes = new ChangeFeed(estimateEndpoint, snapshot.forgotten);
		snapshot.endpoints.forEach(endpoint => {
			this.endpoints.put(endpoint);
		});
		snapshot.endpoints.toSorted((a, b) => a.revision - b.revision).forEach(endpoint => {
			this.changes.put(endpoint.id, endpoint, endpoint.revision);
		});
		this.revision = index;
		this.onChange();
	}

	/** What changed behind a follower's place, or the first part of it. */
	changesSince(place: FleetPlace): FleetUpdate {
		return {
			revision: this.revision,
			endpoints: this.changes.readAfter(place.endpoints),
			configuration: this.history.feed.readAfter(place.configuration),
			quarantine: this.crashes.feed.readAfter(place.quarantine),
		};
	}

	/** Whether there are changes behind a follower's place. */
	hasChangesSince(place: FleetPlace): boolean {
		return this.changes.hasMore(place.endpoints) || this.history.feed.hasMore(place.configuration) || this.crashes.feed.hasMore(place.quarantine);
	}

	/** Whether a follower has read changes that this copy of the state lacks yet. */
	isBehind(place: FleetPlace): boolean {
		return Math.max(place.endpoints?.revision ?? 0, place.configuration?.revision ?? 0, place.quarantine?.revision ?? 0) > this.revision;
	}

	private applyCommand(command: FleetCommand, index: number): unknown {
		switch (command.kind) {
			case FleetCommandKind.Configure: {
				return this.configure(command.stated, index);
			}

			case FleetCommandKind.Report: {
				return this.report(command.report, index);
			}

			case FleetCommandKind.Leave: {
				return this.leave(command.id, index);
			}

			case FleetCommandKind.MarkSilent: {
				command.ids
					.filter(id => this.endpoints.find(id)?.phase === EndpointPhase.Ready)
					.forEach(id => {
						this.setPhase(id, EndpointPhase.Silent, index);
					});
				return true;
			}

			case FleetCommandKind.Forget: {
				return this.forget(command.ids, index);
			}

			case FleetCommandKind.RecordHoldings: {
				return this.replace(applyHoldings(this.endpoints.find(command.holdings.id), command.holdings, index), index);
			}

			case FleetCommandKind.ClaimOrders: {
				const former = this.orderHolder ?? '';
				this.orderHolder = command.holder;
				return former;
			}

			case FleetCommandKind.RecordCrashes: {
				return this.recordCrashes(command.reports, index);
			}

			case FleetCommandKind.ReleaseQuarantine: {
				return this.touch(this.crashes.release(command.fingerprints, index), index);
			}

			case FleetCommandKind.RecordLimits: {
				return command.limits.map(limit => this.recordLimit(limit, index)).some(Boolean);
			}
		}
	}

	private configure(stated: StatedConfiguration, index: number): number {
		const held = this.stated?.configuration.version ?? -1;
		const {version} = stated.configuration;
		if (version <= held) {
			return held;
		}

		this.stated = stated;
		this.configuredAt = index;
		this.history.apply(stated.configuration, index);
		this.revision = index;
		return version;
	}

	/** A new incarnation at an address, or of a name, tells that the former one has ended. */
	private report(report: EndpointReport, index: number): boolean {
		if (!this.mayTake(report)) {
			return false;
		}

		const known = this.endpoints.find(report.id);
		const former = known ? [] : this.listReplaced(report);
		former.filter(({phase}) => phase !== EndpointPhase.Gone).forEach(({id}) => {
			this.setPhase(id, EndpointPhase.Gone, index);
		});
		const {name} = parseIncarnation(report.id);
		return this.replace(applyReport(known, report, index, former.find(({id}) => parseIncarnation(id).name === name)), index);
	}

	/** Endpoints whose end the first heartbeat of a new incarnation shows: the ones at its address, and the one of its name. */
	private listReplaced({id, address}: EndpointReport): FleetEndpoint[] {
		const current = this.endpoints.findCurrent(parseIncarnation(id).name);
		return this.list().filter(other => other === current || (other.address === address && other.phase !== EndpointPhase.Gone));
	}

	/** An endpoint has told that it ends, so what it cut off then is no crash. */
	private leave(name: string, index: number): boolean {
		const known = this.endpoints.findCurrent(name);
		return known
			? this.replace({
				...known, phase: EndpointPhase.Gone, isLeaving: true, revision: index,
			}, index)
			: false;
	}

	/** What ran at endpoints that crashed is under suspicion. An endpoint that had told that it leaves did not crash. */
	private recordCrashes(reports: readonly CrashReport[], index: number): string[] {
		const quarantined = reports
			.filter(({endpointId}) => this.endpoints.find(endpointId)?.isLeaving === false)
			.flatMap(report => this.crashes.record(report, index));
		this.touch(quarantined.length > 0, index);
		return quarantined;
	}

	/** What an incarnation has named holds for that one only. */
	private recordLimit({endpoint, perSecond}: RecordedLimit, index: number): boolean {
		const known = this.endpoints.find(endpoint);
		const isNews = known && known.phase !== EndpointPhase.Gone && known.limitPerSecond !== perSecond;
		return isNews ? this.replace({...known, limitPerSecond: perSecond, revision: index}, index) : false;
	}

	private touch(isChanged: boolean, index: number): boolean {
		this.revision = isChanged ? index : this.revision;
		return isChanged;
	}

	private setPhase(id: string, phase: EndpointPhase, index: number): boolean {
		const known = this.endpoints.find(id);
		return known ? this.replace({...known, phase, revision: index}, index) : false;
	}

	private replace(endpoint: FleetEndpoint | undefined, index: number): boolean {
		if (!endpoint || endpoint === this.endpoints.find(endpoint.id)) {
			return false;
		}

		this.endpoints.put(endpoint);
		this.changes.put(endpoint.id, endpoint, index);
		this.revision = index;
		return true;
	}

	/**
	 * Forgets endpoints that have ended; others end by this. Followers that know of the end lose nothing, so nothing is
	 * sent again to them.
	 */
	private forget(ids: readonly string[], index: number): boolean {
		const known = ids.flatMap(id => this.endpoints.find(id) ?? []);
		known.forEach(({id, phase}) => {
			if (phase === EndpointPhase.Gone) {
				this.endpoints.drop(id);
				this.changes.forget(id);
			} else {
				this.setPhase(id, EndpointPhase.Gone, index);
			}
		});
		return known.length > 0;
	}
}
