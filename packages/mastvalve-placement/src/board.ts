/**
 * A placement while it is being worked out: who holds what, and how much room is left.
 */

import {AssignmentMode, type Assignment} from 'mastvalve-types';
import {compareText, sumOf} from 'mastvalve-utils';
import type {PlacedEndpoint, PlacedModel, PlacementInput} from './placement-input.js';

/** The working state. */
export class Board {
	readonly models: Map<string, PlacedModel>;
	private readonly held = new Map<string, Assignment[]>();

	constructor(readonly input: PlacementInput) {
		this.models = new Map(input.models.map(model => [model.name, model]));
		input.endpoints.forEach(endpoint => {
			const valid = endpoint.assignments.filter(assignment => this.models.get(assignment.model)?.service === endpoint.service);
			this.held.set(endpoint.id, valid);
		});
	}

	heldBy(endpoint: PlacedEndpoint): Assignment[] {
		return this.held.get(endpoint.id) ?? [];
	}

	/** Memory that assignments may take at once: all residents and the largest on demand. */
	memoryOf(assignments: readonly Assignment[]): number {
		const sizeOf = (assignment: Assignment): number => this.models.get(assignment.model)?.size ?? 0;
		const residents = assignments.filter(assignment => assignment.mode === AssignmentMode.Resident);
		const onDemand = assignments.filter(assignment => assignment.mode === AssignmentMode.OnDemand);
		return sumOf(residents, sizeOf) + Math.max(0, ...onDemand.map(sizeOf));
	}

	roomOf(endpoint: PlacedEndpoint): number {
		return endpoint.capacity - this.memoryOf(this.heldBy(endpoint));
	}

	fits(endpoint: PlacedEndpoint, assignment: Assignment): boolean {
		return this.memoryOf([...this.without(endpoint, assignment.model), assignment]) <= endpoint.capacity;
	}

	put(endpoint: PlacedEndpoint, assignment: Assignment): void {
		const others = this.without(endpoint, assignment.model);
		this.held.set(endpoint.id, [...others, assignment].toSorted((a, b) => compareText(a.model, b.model)));
	}

	take(endpoint: PlacedEndpoint, model: string): void {
		this.held.set(endpoint.id, this.without(endpoint, model));
	}

	holders(model: string, mode?: AssignmentMode): PlacedEndpoint[] {
		return this.input.endpoints.filter(endpoint =>
			this.heldBy(endpoint).some(assignment => assignment.model === model && (mode === undefined || assignment.mode === mode)));
	}

	/** Endpoints that could hold a model at all and don't yet. */
	candidates(model: PlacedModel): PlacedEndpoint[] {
		const holders = new Set(this.holders(model.name));
		return this.input.endpoints.filter(endpoint => endpoint.service === model.service && endpoint.capacity >= model.size && !holders.has(endpoint));
	}

	/** Prefers failure domains that don't hold the model yet, then the emptiest endpoint, then the name. */
	compareForSpread(model: PlacedModel): (a: PlacedEndpoint, b: PlacedEndpoint) => number {
		const domains = new Set(this.holders(model.name).map(endpoint => endpoint.failureDomain));
		const crowding = (endpoint: PlacedEndpoint): number => (domains.has(endpoint.failureDomain) ? 1 : 0);
		return (a, b) => crowding(a) - crowding(b) || this.roomOf(b) - this.roomOf(a) || compareText(a.id, b.id);
	}

	toAssignments(): Record<string, Assignment[]> {
		return Object.fromEntries(this.input.endpoints.map(endpoint => [endpoint.id, this.heldBy(endpoint)]));
	}

	private without(endpoint: PlacedEndpoint, model: string): Assignment[] {
		return this.heldBy(endpoint).filter(assignment => assignment.model !== model);
	}
}
