/**
 * Commands of the replicated log.
 */

import type {ClaimCompletion, ClaimRequest} from 'mastvalve-claims';
import type {JoinRequest} from 'mastvalve-http';
import type {EndpointState, Intent, Placement} from 'mastvalve-types';

/** Kinds of commands. */
export enum CommandKind {
	StateIntent = 'state-intent',
	ConfirmPlan = 'confirm-plan',
	JoinEndpoint = 'join-endpoint',
	ChangeEndpoints = 'change-endpoints',
	Place = 'place',
	RecordLoaded = 'record-loaded',
	BeginClaim = 'begin-claim',
	FinishClaim = 'finish-claim',
}

/** A forward step of an endpoint's membership; void when its incarnation is another one by now. */
export type EndpointChange = {endpointId: string; incarnation: number; state: EndpointState};

/** What the engine of an incarnation has proved to hold. */
export type LoadProof = {endpointId: string; incarnation: number; loaded: string[]};

/** Any command. `at` is the proposer's wall clock in ms since the epoch; the state's clock never goes back. */
export type Command = {at: number; requestId?: string} & (
	| {kind: CommandKind.StateIntent; intent: Intent}
	| {kind: CommandKind.ConfirmPlan; planId: string}
	| {kind: CommandKind.JoinEndpoint; endpoint: JoinRequest}
	| {kind: CommandKind.ChangeEndpoints; changes: EndpointChange[]}
	| {kind: CommandKind.Place; placements: Placement[]}
	| {kind: CommandKind.RecordLoaded; proof: LoadProof}
	| {kind: CommandKind.BeginClaim; claim: ClaimRequest}
	| {kind: CommandKind.FinishClaim; end: ClaimCompletion}
);

/** A command without what the proposer adds. */
export type CommandBody = Command extends infer Each ? (Each extends Command ? Omit<Each, 'at' | 'requestId'> : never) : never;
