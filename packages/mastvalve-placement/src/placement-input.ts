/**
 * Input and result of placement: plain data without clocks or sockets.
 */

import type {Assignment} from 'mastvalve-types';

export type PlacedModel = {
	name: string;
	service: string;
	/** Memory including adapters, in the unit of the endpoints' capacity. */
	size: number;
	/** Required resident replicas. */
	minReplicas: number;
	/** Desired replicas at present; at least `minReplicas`. */
	wantedReplicas: number;
	/** Expected requests per second; models with the least demand are removed first. */
	demand: number;
};

export type PlacedEndpoint = {
	id: string;
	service: string;
	failureDomain: string;
	capacity: number;
	/** Current assignments. */
	assignments: Assignment[];
	/** Models that the endpoint has reported as loaded. */
	loaded: string[];
};

export type PlacementInput = {
	models: PlacedModel[];
	endpoints: PlacedEndpoint[];
	/** Loads that may be started now, limited to protect the weight store; required replicas take precedence. */
	loadBudget: number;
	/** Cost of one move, in attainment. */
	moveWeight: number;
};

export type PlacementResult = {
	/** By endpoint id. */
	assignments: Record<string, Assignment[]>;
	/** Messages on replicas that could not be placed. */
	shortfalls: string[];
};
