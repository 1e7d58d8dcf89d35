/**
 * Plans: the effects of confirming an intent.
 */

import type {AssignmentMode, Intent, Placement} from 'mastvalve-types';

export enum MoveKind {
	Load = 'load',
	Unload = 'unload',
	/** From resident to on demand or vice versa; does not load or unload anything immediately. */
	ChangeMode = 'change-mode',
}

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
	/** Memory of its replicas. */
	claimed: number;
	/** Memory that the intent allows. */
	allowed: number;
};

/** How a model or adapter is reachable under a plan. */
export type Reachability = {
	name: string;
	/** Model that serves the name; the same name unless it is an adapter. */
	model: string;
	mode: AssignmentMode;
	endpoints: string[];
};

/** Plan that an operator reviews. */
export type Plan = {
	/** Hash of the other fields, so that a confirmation refers to exactly what was reviewed. */
	id: string;
	/** Version of the configuration that the plan is based on. */
	baseVersion: number;
	intent: Intent;
	placements: Placement[];
	moves: PlannedMove[];
	memory: EndpointMemory[];
	events: EventMemory[];
	reachability: Reachability[];
	/** Reasons why the plan can't be confirmed; empty if it can. */
	refusals: string[];
};
