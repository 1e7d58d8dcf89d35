/**
 * Commands of the fleet's state machine.
 */

import type {CrashReport} from '../quarantine/crash-report.js';
import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import type {EndpointReport, ExpectedLoad} from './fleet-endpoint.js';

/** Kinds of commands. */
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
	ReleaseQuarantine = 'release-quarantine',
	RecordLimits = 'record-limits',
}

/** What orders have changed at an engine, or are about to change. */
export type Holdings = {
	id: string;
	/** Adapters by model, for the models named. */
	adapters: Record<string, string[]>;
	/** The model that goes. */
	retiring: string | undefined;
	/** The model that comes. */
	loading: ExpectedLoad | undefined;
	/** Whether orders may be given from now on until the next record. */
	isOrdering: boolean;
};

/** The limit that an endpoint has named, requests a second; missing when it is over. */
export type RecordedLimit = {endpoint: string; perSecond?: number};

/** Any command. */
export type FleetCommand
	= | {kind: FleetCommandKind.Configure; stated: StatedConfiguration}
		| {kind: FleetCommandKind.Report; report: EndpointReport}
		/** The endpoint's name; its incarnation that was taken in last ends. */
		| {kind: FleetCommandKind.Leave; id: string}
		| {kind: FleetCommandKind.MarkSilent; ids: string[]}
		/** Endpoints whose answers said that they are leaving, whatever their heartbeats say. */
		| {kind: FleetCommandKind.MarkLeaving; ids: string[]}
		| {kind: FleetCommandKind.Forget; ids: string[]}
		| {kind: FleetCommandKind.RecordHoldings; holdings: Holdings}
		| {kind: FleetCommandKind.ClaimOrders; holder: string}
		| {kind: FleetCommandKind.RecordCrashes; reports: CrashReport[]}
		| {kind: FleetCommandKind.ReleaseQuarantine; fingerprints: string[]}
		| {kind: FleetCommandKind.RecordLimits; limits: RecordedLimit[]};
