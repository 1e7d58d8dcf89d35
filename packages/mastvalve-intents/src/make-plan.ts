/**
 * Creates plans. Pure and deterministic, so that every replica of the log creates the same plan from the same state.
 */

import {listAssignments, computeAssignedMemory, computeModelMemory} from 'mastvalve-configuration';
import {doEventsOverlap} from 'mastvalve-placement';
import {
	AssignmentMode, EndpointState, type Assignment, type Configuration, type DeclaredEvent, type Endpoint, type Intent,
} from 'mastvalve-types';
import {compareText, hashCanonically, sumOf} from 'mastvalve-utils';
import {declareIntent} from './intent-to-configuration.js';
import {listChangedPlacements, noForecast, planConfiguration} from './plan-configuration.js';
import {
	MoveKind, type EndpointMemory, type EventMemory, type Plan, type PlannedMove, type Reachability,
} from './plan.js';

/** Lead time before an event at which its replicas start to load. */
export const eventLeadMinutes = 15;

/** Creates the plan for an intent. */
export const makePlan = (configuration: Configuration, intent: Intent): Plan => {
	const declared = declareIntent(configuration, intent);
	const {assignments, shortfalls} = planConfiguration(declared, noForecast);
	const modelEndpoints = Object.values(configuration.endpoints)
		.filter(endpoint => endpoint.state === EndpointState.Live && endpoint.capacity > 0)
		.toSorted((a, b) => compareText(a.id, b.id));
	const content = {
		baseVersion: configuration.version,
		intent,
		// Loads that complete between review and confirmation don't change the plan.
		placements: listChangedPlacements(declared, assignments).map(placement => ({...placement, loaded: []})),
		moves: modelEndpoints.flatMap(endpoint => listMoves(endpoint, listAssignments(configuration, endpoint), assignments[endpoint.id] ?? [])),
		memory: modelEndpoints.map(endpoint => describeMemory(configuration, declared, endpoint, assignments[endpoint.id] ?? [])),
		events: intent.events.map(event => describeEventMemory(declared, event)),
		reachability: listReachability(declared, assignments),
		refusals: [...shortfalls, ...intent.events.flatMap(event => listEventRefusals(declared, event, intent.events))],
	};
	return {id: hashCanonically(content), ...content};
};

const listMoves = (endpoint: Endpoint, before: Assignment[], after: Assignment[]): PlannedMove[] => {
	const findIn = (list: Assignment[], model: string): Assignment | undefined => list.find(assignment => assignment.model === model);
	const added = after
		.filter(assignment => findIn(before, assignment.model)?.mode !== assignment.mode)
		.map(assignment => ({
			kind: findIn(before, assignment.model) ? MoveKind.ChangeMode : MoveKind.Load,
			model: assignment.model,
			endpointId: endpoint.id,
			mode: assignment.mode,
		}));
	const removed = before
		.filter(assignment => !findIn(after, assignment.model))
		.map(assignment => ({
			kind: MoveKind.Unload, model: assignment.model, endpointId: endpoint.id, mode: assignment.mode,
		}));
	return [...removed, ...added];
};

const describeMemory = (before: Configuration, after: Configuration, endpoint: Endpoint, assignments: Assignment[]): EndpointMemory => ({
	endpointId: endpoint.id,
	capacity: endpoint.capacity,
	before: computeAssignedMemory(before, listAssignments(before, endpoint)),
	after: computeAssignedMemory(after, assignments),
});

const describeEventMemory = (configuration: Configuration, event: DeclaredEvent): EventMemory => ({
	event: event.name,
	claimed: sumOf(event.models, entry => {
		const model = configuration.models[entry.model];
		return model ? computeModelMemory(model) * entry.replicas : 0;
	}),
	allowed: event.memory,
});

/** Lists refusals: an event must fit into its allowed memory, and into the endpoints together with all overlapping events. */
const listEventRefusals = (configuration: Configuration, event: DeclaredEvent, events: DeclaredEvent[]): string[] => {
	const {claimed, allowed} = describeEventMemory(configuration, event);
	const overClaim = claimed > allowed ? [`event ${event.name} claims ${claimed} of memory and may claim ${allowed}`] : [];
	const together = events.filter(other => other === event || doEventsOverlap(event, other, eventLeadMinutes));
	const models = Object.fromEntries(Object.entries(configuration.models).map(([name, model]) => {
		const replicas = Math.max(model.minReplicas, ...together.flatMap(other => other.models).filter(entry => entry.model === name).map(entry => entry.replicas));
		return [name, {...model, minReplicas: replicas}];
	}));
	const {shortfalls} = planConfiguration({...configuration, models}, noForecast);
	return [...overClaim, ...shortfalls.map(shortfall => `during event ${event.name}: ${shortfall}`)];
};

const listReachability = (configuration: Configuration, assignments: Record<string, Assignment[]>): Reachability[] =>
	Object.values(configuration.models).flatMap(model => {
		const holders = Object.entries(assignments)
			.flatMap(([endpointId, held]) => held.filter(assignment => assignment.model === model.name).map(assignment => ({endpointId, mode: assignment.mode})));
		const mode = holders.some(holder => holder.mode === AssignmentMode.Resident) ? AssignmentMode.Resident : AssignmentMode.OnDemand;
		const endpoints = holders.filter(holder => holder.mode === mode).map(holder => holder.endpointId).toSorted(compareText);
		return [model.name, ...model.adapters.map(adapter => adapter.name)].map(name => ({
			name, model: model.name, mode, endpoints,
		}));
	});
