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
import {changesEndpoint} from './apply-report.js';
import type {FeedPosition} from './change-feed.js';
import {EndpointRegistry} from './endpoint-registry.js';
import {FleetCommandKind, type FleetCommand} from './fleet-command.js';
import type {EndpointReport, FleetEndpoint} from './fleet-endpoint.js';
import type {FleetCursor, FleetUpdate} from './fleet-update.js';

/** The state as plain data. */
export type FleetSnapshot = {
	stated: StatedConfiguration | undefined;
	configuredAt: number;
	/** Missing in snapshots of earlier versions. */
	history?: HistorySnapshot;
	/** Up to where endpoints were forgotten; missing in snapshots of earlier versions. */
	forgotten?: FeedPosition;
	endpoints: FleetEndpoint[];
	orderHolder: string | undefined;
	/** Missing in snapshots of earlier versions. */
	crashes?: CrashSnapshot;
};

/** The state machine. */
export class FleetMachine {
	/** Log index of the last change. */
	revision = 0;
	private stated: StatedConfiguration | undefined;
	private configuredAt = 0;
	/** The control instance that gives orders to engines. */
	private orderHolder: string | undefined;
	private readonly endpoints = new EndpointRegistry();
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

	/** Whether a heartbeat is of an endpoint to use (`endpoint-register.ts`), and of a service that the configuration names. */
	acceptsReport(report: EndpointReport): boolean {
		const services = this.stated?.configuration.services;
		const isServed = services === undefined || services.some(({name}) => name === report.service);
		return isServed && this.endpoints.acceptsReport(report);
	}

	/** Whether a heartbeat says anything that the state doesn't; only then it needs the log. */
	changesState(report: EndpointReport): boolean {
		return this.acceptsReport(report) && changesEndpoint(this.endpoints.find(report.id), report);
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
			stated: this.stated, configuredAt: this.configuredAt, history: this.history.takeSnapshot(), forgotten: this.endpoints.feed.forgottenUpTo, endpoints: this.list(), orderHolder: this.orderHolder, crashes: this.crashes.takeSnapshot(),
		};
	}

	restoreSnapshot(data: unknown, index: number): void {
		const snapshot = assumeType<FleetSnapshot>(data);
		this.stated = snapshot.stated;
		this.configuredAt = snapshot.configuredAt;
		this.history = ConfigurationHistory.restore(snapshot.stated?.configuration, snapshot.configuredAt, snapshot.history);
		this.orderHolder = snapshot.orderHolder;
		this.crashes = CrashHistory.restore(snapshot.crashes);
		this.endpoints.restore(snapshot.endpoints, snapshot.forgotten);
		this.revision = index;
		this.onChange();
	}

	/** What changed behind a follower's place, or the first part of it. */
	changesSince(place: FleetCursor): FleetUpdate {
		return {
			revision: this.revision,
			endpoints: this.endpoints.feed.readAfter(place.endpoints),
			configuration: this.history.feed.readAfter(place.configuration),
			quarantine: this.crashes.feed.readAfter(place.quarantine),
		};
	}

	/** Whether there are changes behind a follower's place. */
	hasChangesSince(place: FleetCursor): boolean {
		return this.endpoints.feed.hasMore(place.endpoints) || this.history.feed.hasMore(place.configuration) || this.crashes.feed.hasMore(place.quarantine);
	}

	/** Whether a follower has read changes that this copy of the state lacks yet. */
	isBehind(place: FleetCursor): boolean {
		return Math.max(place.endpoints?.revision ?? 0, place.configuration?.revision ?? 0, place.quarantine?.revision ?? 0) > this.revision;
	}

	private applyCommand(command: FleetCommand, index: number): unknown {
		switch (command.kind) {
			case FleetCommandKind.Configure: {
				return this.configure(command.stated, index);
			}

			case FleetCommandKind.Report: {
				return this.touch(this.acceptsReport(command.report) && this.endpoints.report(command.report, index), index);
			}

			case FleetCommandKind.Leave: {
				return this.touch(this.endpoints.leave(command.id, index), index);
			}

			case FleetCommandKind.MarkSilent: {
				return this.touch(this.endpoints.markSilent(command.ids, index), index);
			}

			case FleetCommandKind.MarkLeaving: {
				return this.touch(this.endpoints.markLeaving(command.ids, index), index);
			}

			case FleetCommandKind.Forget: {
				return this.touch(this.endpoints.forget(command.ids, index), index);
			}

			case FleetCommandKind.RecordHoldings: {
				return this.touch(this.endpoints.recordHoldings(command.holdings, index), index);
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
				return this.touch(this.endpoints.recordLimits(command.limits, index), index);
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

	/** What ran at endpoints that crashed is under suspicion. An endpoint that had told that it leaves did not crash. */
	private recordCrashes(reports: readonly CrashReport[], index: number): string[] {
		const quarantined = reports
			.filter(({endpointId}) => this.endpoints.find(endpointId)?.isLeaving === false)
			.flatMap(report => this.crashes.record(report, index));
		this.touch(quarantined.length > 0, index);
		return quarantined;
	}

	private touch(isChanged: boolean, index: number): boolean {
		this.revision = isChanged ? index : this.revision;
		return isChanged;
	}
}
