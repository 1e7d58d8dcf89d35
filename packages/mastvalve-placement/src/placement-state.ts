/**
 * Working state of a placement: assignments and free memory of the endpoints, with indexes, so that the cost of a query depends on the size
 * of its result and not on the size of the deployment.
 */

import {AssignmentMode, type Assignment} from 'mastvalve-types';
import {compareText, sumOf} from 'mastvalve-utils';
import type {PlacedEndpoint, PlacedModel, PlacementInput} from './placement-input.js';

/** Exceeds any free memory. Endpoints are sorted by name, so ties go to the first name. */
const newDomainRank = 1e9;

export class PlacementState {
	readonly models: Map<string, PlacedModel>;
	private readonly endpointsByService = new Map<string, PlacedEndpoint[]>();
	private readonly assignments = new Map<string, Assignment[]>();
	private readonly usedMemory = new Map<string, number>();
	/** Endpoints by model, with the mode of the assignment. */
	private readonly holdersByModel = new Map<string, Map<PlacedEndpoint, AssignmentMode>>();

	constructor(readonly input: PlacementInput) {
		this.models = new Map(input.models.map(model => [model.name, model]));
		input.endpoints.forEach(endpoint => {
			const peers = this.endpointsByService.get(endpoint.service) ?? [];
			peers.push(endpoint);
			this.endpointsByService.set(endpoint.service, peers);
			const isValid = (assignment: Assignment): boolean => this.models.get(assignment.model)?.service === endpoint.service;
			this.setAssignments(endpoint, endpoint.assignments.every(isValid) ? endpoint.assignments : endpoint.assignments.filter(isValid));
		});
	}

	listAssignments(endpoint: PlacedEndpoint): Assignment[] {
		return this.assignments.get(endpoint.id) ?? [];
	}

	computeFreeMemory(endpoint: PlacedEndpoint): number {
		return endpoint.capacity - (this.usedMemory.get(endpoint.id) ?? 0);
	}

	fits(endpoint: PlacedEndpoint, assignment: Assignment): boolean {
		return this.computePeakMemory([...this.listOthers(endpoint, assignment.model), assignment]) <= endpoint.capacity;
	}

	assign(endpoint: PlacedEndpoint, assignment: Assignment): void {
		const others = this.listOthers(endpoint, assignment.model);
		this.setAssignments(endpoint, [...others, assignment].toSorted((a, b) => compareText(a.model, b.model)));
	}

	unassign(endpoint: PlacedEndpoint, model: string): void {
		this.setAssignments(endpoint, this.listOthers(endpoint, model));
	}

	/** Restores previous assignments of an endpoint. */
	restore(endpoint: PlacedEndpoint, assignments: Assignment[]): void {
		this.setAssignments(endpoint, assignments);
	}

	listHolders(model: string, mode?: AssignmentMode): PlacedEndpoint[] {
		const holders = [...this.holdersByModel.get(model) ?? []];
		return holders.filter(([, held]) => mode === undefined || held === mode).map(([endpoint]) => endpoint);
	}

	/** Lists endpoints with sufficient capacity that don't hold the model yet. */
	listCandidates(model: PlacedModel): PlacedEndpoint[] {
		const holders = this.holdersByModel.get(model.name);
		return (this.endpointsByService.get(model.service) ?? []).filter(endpoint => endpoint.capacity >= model.size && !holders?.has(endpoint));
	}

	/** Finds the best candidate with free memory, in one pass without copies, since it is called for each replica of an initial placement. */
	findBestCandidate(model: PlacedModel, assignment: Assignment): PlacedEndpoint | undefined {
		const holders = this.holdersByModel.get(model.name);
		const domains = new Set(this.listHolders(model.name).map(endpoint => endpoint.failureDomain));
		let best: PlacedEndpoint | undefined;
		let bestRank = Number.NEGATIVE_INFINITY;
		this.endpointsByService.get(model.service)?.forEach(endpoint => {
			// A failure domain that doesn't hold the model yet outweighs any free memory.
			const rank = this.computeFreeMemory(endpoint) + (domains.has(endpoint.failureDomain) ? 0 : newDomainRank);
			if (rank > bestRank && endpoint.capacity >= model.size && holders?.has(endpoint) !== true && this.fits(endpoint, assignment)) {
				best = endpoint;
				bestRank = rank;
			}
		});
		return best;
	}

	/** Orders by failure domains that don't hold the model yet, then by free memory, then by name. */
	compareForSpread(model: PlacedModel): (a: PlacedEndpoint, b: PlacedEndpoint) => number {
		const domains = new Set(this.listHolders(model.name).map(endpoint => endpoint.failureDomain));
		const rankDomain = (endpoint: PlacedEndpoint): number => (domains.has(endpoint.failureDomain) ? 1 : 0);
		return (a, b) => rankDomain(a) - rankDomain(b) || this.computeFreeMemory(b) - this.computeFreeMemory(a) || compareText(a.id, b.id);
	}

	/** Returns the assignments by endpoint id. Unchanged arrays are identical to those of the input. */
	toAssignments(): Record<string, Assignment[]> {
		return Object.fromEntries(this.input.endpoints.map(endpoint => [endpoint.id, this.listAssignments(endpoint)]));
	}

	/** Returns the peak memory of assignments: all residents plus the largest on-demand model. */
	private computePeakMemory(assignments: readonly Assignment[]): number {
		const sizeOf = (assignment: Assignment): number => this.models.get(assignment.model)?.size ?? 0;
		const residents = assignments.filter(assignment => assignment.mode === AssignmentMode.Resident);
		const onDemand = assignments.filter(assignment => assignment.mode === AssignmentMode.OnDemand);
		return sumOf(residents, sizeOf) + Math.max(0, ...onDemand.map(sizeOf));
	}

	private setAssignments(endpoint: PlacedEndpoint, assignments: Assignment[]): void {
		this.listAssignments(endpoint).forEach(({model}) => {
			this.holdersByModel.get(model)?.delete(endpoint);
		});
		this.assignments.set(endpoint.id, assignments);
		this.usedMemory.set(endpoint.id, this.computePeakMemory(assignments));
		assignments.forEach(({model, mode}) => {
			const holders = this.holdersByModel.get(model) ?? new Map<PlacedEndpoint, AssignmentMode>();
			holders.set(endpoint, mode);
			this.holdersByModel.set(model, holders);
		});
	}

	private listOthers(endpoint: PlacedEndpoint, model: string): Assignment[] {
		return this.listAssignments(endpoint).filter(assignment => assignment.model !== model);
	}
}
