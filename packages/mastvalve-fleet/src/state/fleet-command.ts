/**
 * Commands of the fleet's state machine.
 */

import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import type {EndpointReport, HeldModel} from './fleet-endpoint.js';

/** Kinds of commands. */
export enum FleetCommandKind {
	Configure = 'configure',
	Report = 'report',
	Leave = 'leave',
	MarkSilent = 'mark-silent',
	Forget = 'forget',
	RecordHoldings = 'record-holdings',
}

/** What an engine holds after an order of ours, by endpoint. */
export type Holdings = {id: string; holds: HeldModel[]; retiring: string | undefined};

/** Any command. */
export type FleetCommand
	= | {kind: FleetCommandKind.Configure; stated: StatedConfiguration}
		| {kind: FleetCommandKind.Report; report: EndpointReport}
		| {kind: FleetCommandKind.Leave; id: string}
		| {kind: FleetCommandKind.MarkSilent; ids: string[]}
		| {kind: FleetCommandKind.Forget; ids: string[]}
		| {kind: FleetCommandKind.RecordHoldings; holdings: Holdings};
