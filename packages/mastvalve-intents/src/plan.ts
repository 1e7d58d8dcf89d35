/**
 * A plan: what confirming an intent would do.
 */

import type {AssignmentMode, Intent, Placement} from 'mastvalve-types';

/** What happens to a model at an endpoint. */
export enum MoveKind {
	Load = 'load',
	Unload = 'unload',
	/** From resident to on demand or back; nothing is loaded or unloaded by it at once. */
	ChangeMode = 'change-mode',
}

/** One step of a plan. */
export type PlannedMove = {
	kind: MoveKind;
	model: string;
	endpointId: string;
	mode: AssignmentMode;
};

/** Memory of one endpoint under a plan. */
export type EndpointMemory = {
	endpointId: string;
	capacity: number;
	before: number;
	after: number;
};

/** Memory that a declared event claims. */
export type EventMemory = {
	event: string;
	/** What its replicas take. */
	claimed: number;
	/** What the intent allows it. */
	allowed: number;
};

/** How a model or adapter becomes reachable. */
export type Reachability = {
	name: string;
	/** The model that serves it; itself unless it is an adapter. */
	model: string;
	mode: AssignmentMode;
	endpoints: string[];
};

/** What an operator reviews. */
export type Plan = {
	/** Hash of all the rest: a confirmation names exactly what was reviewed. */
	id: string;
	/** Version of the configuration on which it rests. */
	baseVersion: number;
	intent: Intent;
	placements: Placement[];
	moves: PlannedMove[];
	memory: EndpointMemory[];
	events: EventMemory[];
	reachability: Reachability[];
	/** Why it can't be confirmed; empty when it can. */
	refusals: string[];
};
