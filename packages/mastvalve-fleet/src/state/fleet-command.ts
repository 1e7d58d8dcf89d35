/**
 * Commands of the fleet's state machine.
 */

import type {CrashReport, SuccessReport} from '../quarantine/crash-report.js';
import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import type {EndpointReport, ExpectedLoad} from './fleet-endpoint.js';

export enum FleetCommandKind {
	Configure = 'configure',
	Report = 'report',
	Leave = 'leave',
	MarkSilent = 'mark-silent',
	MarkLeaving = 'mark-leaving',
	Forget = 'forget',
	RecordHoldings = 'record-holdings',
	ClaimOrders = 'claim-orders',
	RecordCrashes = 'record-crashes',
	RefuteCrashes = 'refute-crashes',
	RecordSuccesses = 'record-successes',
	QuarantineDue = 'quarantine-due',
	BeginProbation = 'begin-probation',
	ReleaseQuarantine = 'release-quarantine',
	RecordLimits = 'record-limits',
	RecordGrants = 'record-grants',
}

/** What orders have changed on an engine, or are about to change. */
export type Holdings = {
	id: string;
	/** Adapters by model; other models keep theirs. */
	adapters: Record<string, string[]>;
	/** Model to be unloaded. */
	retiring: string | undefined;
	/** Model being loaded. */
	loading: ExpectedLoad | undefined;
	/** Whether orders may be sent until the next record. */
	isOrdering: boolean;
};

/** The limit that an endpoint has announced, requests per second; missing once the limit has ended. */
export type RecordedLimit = {endpoint: string; perSecond?: number};

/** The most that the leader may have granted to a workspace in its window; 0 once nothing is left of it. */
export type RecordedGrants = {workspace: string; amount: number};

export type FleetCommand
	= | {kind: FleetCommandKind.Configure; stated: StatedConfiguration}
		| {kind: FleetCommandKind.Report; report: EndpointReport}
		/** `id` is the endpoint's name; its most recently registered incarnation ends. */
		| {kind: FleetCommandKind.Leave; id: string}
		| {kind: FleetCommandKind.MarkSilent; ids: string[]}
		/** Endpoints whose answers said that they are leaving, regardless of their heartbeats. */
		| {kind: FleetCommandKind.MarkLeaving; ids: string[]}
		| {kind: FleetCommandKind.Forget; ids: string[]}
		| {kind: FleetCommandKind.RecordHoldings; holdings: Holdings}
		| {kind: FleetCommandKind.ClaimOrders; holder: string}
		| {kind: FleetCommandKind.RecordCrashes; reports: CrashReport[]}
		/** Endpoints that have sent heartbeats since they were recorded as crashed. */
		| {kind: FleetCommandKind.RefuteCrashes; ids: string[]}
		| {kind: FleetCommandKind.RecordSuccesses; reports: SuccessReport[]}
		| {kind: FleetCommandKind.QuarantineDue; fingerprints: string[]}
		| {kind: FleetCommandKind.BeginProbation; fingerprints: string[]}
		| {kind: FleetCommandKind.ReleaseQuarantine; fingerprints: string[]}
		| {kind: FleetCommandKind.RecordLimits; limits: RecordedLimit[]}
		| {kind: FleetCommandKind.RecordGrants; grants: RecordedGrants[]};
