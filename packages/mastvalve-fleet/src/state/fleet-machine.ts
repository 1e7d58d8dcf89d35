/**
 * State machine of the fleet: the active configuration and all endpoints. Deterministic; driven by the replicated log.
 *
 * A configuration replaces only one with a lower version. Phases of endpoints only advance: once an endpoint is leaving or
 * gone, no late heartbeat reverts that.
 */

import {assumeType} from 'mastvalve-utils';
import {ConfigurationHistory, type HistorySnapshot} from '../configuration/configuration-history.js';
import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import {CrashHistory, type CrashSnapshot} from '../quarantine/crash-history.js';
import type {CrashReport, SuccessReport} from '../quarantine/crash-report.js';
import {changesEndpoint} from './apply-report.js';
import type {FeedPosition} from './change-feed.js';
import {EndpointRegistry} from './endpoint-registry.js';
import {FleetCommandKind, type FleetCommand, type RecordedGrants} from './fleet-command.js';
import {EndpointPhase, type EndpointReport, type FleetEndpoint} from './fleet-endpoint.js';
import type {FleetCursor, FleetUpdate} from './fleet-update.js';

/** The state as plain data. */
export type FleetSnapshot = {
	stated: StatedConfiguration | undefined;
	configuredAt: number;
	/** Missing in snapshots of earlier versions. */
	history?: HistorySnapshot;
	/** Newest position of the forgotten endpoints; missing in snapshots of earlier versions. */
	forgotten?: FeedPosition;
	endpoints: FleetEndpoint[];
	orderHolder: string | undefined;
	/** Missing in snapshots of earlier versions. */
	crashes?: CrashSnapshot;
	/** Missing in snapshots of earlier versions, and without limited workspaces. */
	grants?: RecordedGrants[];
};

export class FleetMachine {
	/** Log index of the last change. */
	revision = 0;
	private stated: StatedConfiguration | undefined;
	private configuredAt = 0;
	/** The control instance that sends orders to engines. */
	private orderHolder: string | undefined;
	private readonly endpoints = new EndpointRegistry();
	private history = new ConfigurationHistory();
	private crashes = new CrashHistory();
	/** Recorded ceilings of what was granted, by workspace. */
	private grants = new Map<string, number>();

	constructor(private readonly onChange: () => void = () => undefined) {}

	get configuration(): StatedConfiguration | undefined {
		return this.stated;
	}

	/** Returns all endpoints that are not forgotten. */
	list(): FleetEndpoint[] {
		return this.endpoints.list();
	}

	find(id: string): FleetEndpoint | undefined {
		return this.endpoints.find(id);
	}

	/** Whether a heartbeat is accepted (`endpoint-registry.ts`) and its service is in the configuration. */
	acceptsReport(report: EndpointReport): boolean {
		const services = this.stated?.configuration.services;
		const isServed = services === undefined || services.some(({name}) => name === report.service);
		return isServed && this.endpoints.acceptsReport(report);
	}

	/** Whether a heartbeat would change the state; only then it goes through the log. */
	changesState(report: EndpointReport): boolean {
		return this.acceptsReport(report) && changesEndpoint(this.endpoints.find(report.id), report);
	}

	/** Whether a report of a crash would change the state; only then it goes through the log. */
	isCrashNews({endpointId, fingerprints, suspects = []}: CrashReport): boolean {
		const hasContents = fingerprints.length > 0 || suspects.length > 0;
		return hasContents || this.endpoints.find(endpointId)?.hasCrashed !== true;
	}

	/** Returns the ids of endpoints that are recorded as crashed and have no known successor. */
	listCrashed(): string[] {
		return this.endpoints.list().filter(({hasCrashed, phase}) => hasCrashed === true && phase !== EndpointPhase.Gone).map(({id}) => id);
	}

	/** Whether a report of requests that were answered would change the state; only then it goes through the log. */
	isSuccessNews(report: SuccessReport): boolean {
		return this.crashes.isNews(report);
	}

	/** Returns the fingerprints of what is to be quarantined unless answers clear it. */
	listDue(): string[] {
		return this.crashes.listDue();
	}

	/** Returns the times that the quarantine of something was lifted on probation; undefined if it isn't to be lifted. */
	countProbations(fingerprint: string): number | undefined {
		return this.crashes.countProbations(fingerprint);
	}

	/** Returns the fingerprints of quarantined requests and parts of prompts. */
	listQuarantined(): string[] {
		return this.crashes.listQuarantined();
	}

	/** Returns the most that the leader may have granted to a workspace in its window. */
	readRecordedGrants(workspace: string): number {
		return this.grants.get(workspace) ?? 0;
	}

	/** Returns the workspaces to which the leader may have granted something. */
	listGrantedWorkspaces(): string[] {
		return [...this.grants.keys()];
	}

	/** Applies a command. Returns the active version for a configuration, and for crashes and successes the fingerprints whose quarantine begins or ends. */
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
			stated: this.stated,
			configuredAt: this.configuredAt,
			history: this.history.takeSnapshot(),
			forgotten: this.endpoints.feed.forgottenUpTo,
			endpoints: this.list(),
			orderHolder: this.orderHolder,
			crashes: this.crashes.takeSnapshot(),
			...(this.grants.size > 0 && {grants: [...this.grants].map(([workspace, amount]) => ({workspace, amount}))}),
		};
	}

	restoreSnapshot(data: unknown, index: number): void {
		const snapshot = assumeType<FleetSnapshot>(data);
		this.stated = snapshot.stated;
		this.configuredAt = snapshot.configuredAt;
		this.history = ConfigurationHistory.restore(snapshot.stated?.configuration, snapshot.configuredAt, snapshot.history);
		this.orderHolder = snapshot.orderHolder;
		this.crashes = CrashHistory.restore(snapshot.crashes);
		this.grants = new Map((snapshot.grants ?? []).map(({workspace, amount}) => [workspace, amount]));
		this.endpoints.restore(snapshot.endpoints, snapshot.forgotten);
		this.revision = index;
		this.onChange();
	}

	/** Returns the first page of the changes after a follower's cursor. */
	changesSince(cursor: FleetCursor): FleetUpdate {
		return {
			revision: this.revision,
			endpoints: this.endpoints.feed.readAfter(cursor.endpoints),
			configuration: this.history.feed.readAfter(cursor.configuration),
			quarantine: this.crashes.feed.readAfter(cursor.quarantine),
			crashCount: this.crashes.crashCount,
		};
	}

	/** Whether changes follow a follower's cursor. */
	hasChangesSince(cursor: FleetCursor): boolean {
		return this.endpoints.feed.hasMore(cursor.endpoints) || this.history.feed.hasMore(cursor.configuration) || this.crashes.feed.hasMore(cursor.quarantine);
	}

	/** Whether a follower has read changes that this replica has not applied yet. */
	isBehind(cursor: FleetCursor): boolean {
		return Math.max(cursor.endpoints?.revision ?? 0, cursor.configuration?.revision ?? 0, cursor.quarantine?.revision ?? 0) > this.revision;
	}

	private applyCommand(command: FleetCommand, index: number): unknown {
		switch (command.kind) {
			case FleetCommandKind.Configure: {
				return this.configure(command.stated, index);
			}

			case FleetCommandKind.Report: {
				return this.updateRevision(this.acceptsReport(command.report) && this.endpoints.report(command.report, index), index);
			}

			case FleetCommandKind.Leave: {
				return this.updateRevision(this.endpoints.leave(command.id, index), index);
			}

			case FleetCommandKind.MarkSilent: {
				return this.updateRevision(this.endpoints.markSilent(command.ids, index), index);
			}

			case FleetCommandKind.MarkLeaving: {
				return this.updateRevision(this.endpoints.markLeaving(command.ids, index), index);
			}

			case FleetCommandKind.Forget: {
				return this.updateRevision(this.endpoints.forget(command.ids, index), index);
			}

			case FleetCommandKind.RecordHoldings: {
				return this.updateRevision(this.endpoints.recordHoldings(command.holdings, index), index);
			}

			case FleetCommandKind.ClaimOrders: {
				const former = this.orderHolder ?? '';
				this.orderHolder = command.holder;
				return former;
			}

			case FleetCommandKind.RecordCrashes: {
				return this.recordCrashes(command.reports, index);
			}

			case FleetCommandKind.RefuteCrashes: {
				return this.updateRevision(this.endpoints.refuteCrashes(command.ids, index), index);
			}

			case FleetCommandKind.RecordSuccesses: {
				return this.recordSuccesses(command.reports, index);
			}

			case FleetCommandKind.QuarantineDue: {
				return this.quarantineDue(command.fingerprints, index);
			}

			case FleetCommandKind.BeginProbation: {
				return this.updateRevision(this.crashes.beginProbation(command.fingerprints, index), index);
			}

			case FleetCommandKind.ReleaseQuarantine: {
				return this.updateRevision(this.crashes.release(command.fingerprints, index), index);
			}

			case FleetCommandKind.RecordLimits: {
				return this.updateRevision(this.endpoints.recordLimits(command.limits, index), index);
			}

			case FleetCommandKind.RecordGrants: {
				return this.recordGrants(command.grants);
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

	/** Records crashed endpoints and what was in flight there. What ended with an endpoint that had announced that it leaves isn't suspected. */
	private recordCrashes(reports: readonly CrashReport[], index: number): string[] {
		const isMarked = this.endpoints.markCrashed(reports.map(({endpointId}) => endpointId), index);
		const quarantined = reports
			.filter(({endpointId}) => this.endpoints.find(endpointId)?.isLeaving === false)
			.flatMap(report => this.crashes.record(report, index));
		this.updateRevision(isMarked || this.crashes.changedAt === index, index);
		return quarantined;
	}

	private recordSuccesses(reports: readonly SuccessReport[], index: number): string[] {
		const released = this.crashes.recordSuccesses(reports, index);
		this.updateRevision(this.crashes.changedAt === index, index);
		return released;
	}

	private quarantineDue(fingerprints: readonly string[], index: number): string[] {
		const quarantined = this.crashes.quarantineDue(fingerprints, index);
		this.updateRevision(quarantined.length > 0, index);
		return quarantined;
	}

	/** Only leaders read these, so followers aren't told. */
	private recordGrants(grants: readonly RecordedGrants[]): true {
		grants.forEach(({workspace, amount}) => {
			if (amount > 0) {
				this.grants.set(workspace, amount);
			} else {
				this.grants.delete(workspace);
			}
		});
		return true;
	}

	private updateRevision(isChanged: boolean, index: number): boolean {
		this.revision = isChanged ? index : this.revision;
		return isChanged;
	}
}
