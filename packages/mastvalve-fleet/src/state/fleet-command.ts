/**
 * Commands of the fleet's state machine.
 */

import type {StatedConfiguration} from '../configuration/serving-configuration.js';
import type {EndpointReport, ExpectedLoad} from './fleet-endpoint.js';

/** Kinds of commands. */
export enum FleetCommandKind {
	Configure = 'configure',
	Report = 'report',
	Leave = 'leave',
	MarkSilent = 'mark-silent',
	Forget = 'forget',
	RecordHoldings = 'record-holdings',
	ClaimOrders = 'claim-orders',
}

/** What orders have changed at an engine: adapters by model, for the models named, the model that goes, and the one that comes. */
export type Holdings = {id: string; adapters: Record<string, string[]>; retiring: string | undefined; loading: ExpectedLoad | undefined};

/** Any command. */
export type FleetCommand
	= | {kind: FleetCommandKind.Configure; stated: StatedConfiguration}
		| {kind: FleetCommandKind.Report; report: EndpointReport}
		| {kind: FleetCommandKind.Leave; id: string}
		| {kind: FleetCommandKind.MarkSilent; ids: string[]}
		| {kind: FleetCommandKind.Forget; ids: string[]}
		| {kind: FleetCommandKind.RecordHoldings; holdings: Holdings}
		| {kind: FleetCommandKind.ClaimOrders; holder: string};
