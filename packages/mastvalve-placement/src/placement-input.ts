/**
 * What placement decides on: plain data, no clocks and no sockets.
 */

import type {Assignment} from 'mastvalve-types';

/** A model as placement sees it. */
export type PlacedModel = {
	name: string;
	service: string;
	/** Memory with its adapters, in the unit of the endpoints' capacity. */
	size: number;
	/** Replicas that must be resident. */
	minReplicas: number;
	/** Replicas that are worth having now; at least `minReplicas`. */
	wantedReplicas: number;
	/** Expected requests a second; decides who gives way first. */
	demand: number;
};

/** An endpoint as placement sees it. */
export type PlacedEndpoint = {
	id: string;
	service: string;
	failureDomain: string;
	capacity: number;
	/** What it is to hold now. */
	assignments: Assignment[];
	/** Models that it has proved to hold. */
	loaded: string[];
};

/** The whole input. */
export type PlacementInput = {
	models: PlacedModel[];
	endpoints: PlacedEndpoint[];
	/** Loads that may be started now, for the weight store's sake; coverage goes first. */
	loadBudget: number;
	/** Attainment given up to save one move. */
	moveWeight: number;
};

/** Assignments by endpoint id. */
export type PlacementResult = {
	assignments: Record<string, Assignment[]>;
	/** What could not be placed, in plain words. */
	shortfalls: string[];
};
