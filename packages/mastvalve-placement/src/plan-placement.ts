/**
 * Placement policy: decides which endpoint holds which model.
 *
 * It makes as few changes as possible. Every model is placed first, then every model gets its required replicas; optional replicas only use
 * the remaining memory and load budget. Only replicas above the required number are removed, and only if others are confirmed to hold
 * the model.
 */

import {AssignmentMode, type Assignment} from 'mastvalve-types';
import {compareText, minBy} from 'mastvalve-utils';
import {PlacementState} from './placement-state.js';
import type {
	PlacedEndpoint, PlacedModel, PlacementInput, PlacementResult,
} from './placement-input.js';

const bySizeDescending = (a: PlacedModel, b: PlacedModel): number => b.size - a.size || compareText(a.name, b.name);
const byDemandDescending = (a: PlacedModel, b: PlacedModel): number => b.demand - a.demand || compareText(a.name, b.name);

/** Computes the assignments of all endpoints. Deterministic. */
export const planPlacement = (input: PlacementInput): PlacementResult => {
	const state = new PlacementState(input);
	fitWithinCapacity(state);
	const budget = {remaining: input.loadBudget};
	const models = [...state.models.values()];
	const shortfalls = [
		...models.filter(model => model.minReplicas > 0).toSorted(bySizeDescending).flatMap(model => placeRequiredReplicas(state, model, budget)),
		...models.filter(model => model.minReplicas === 0).toSorted(bySizeDescending).flatMap(model => ensureReachable(state, model, hasExtraResidents)),
		// Too few endpoints remain: a model on demand is preferable to an unreachable one.
		...models.filter(model => state.listHolders(model.name).length === 0).toSorted(bySizeDescending).flatMap(model => ensureReachable(state, model, () => true)),
	];
	models.toSorted(byDemandDescending).forEach(model => {
		addWantedReplicas(state, model, budget);
	});
	return {assignments: state.toAssignments(), shortfalls};
};

/** Removes the models with the least demand from endpoints over capacity, as after an intent that has increased a model's size. */
const fitWithinCapacity = (state: PlacementState): void => {
	state.input.endpoints.forEach(endpoint => {
		while (state.computeFreeMemory(endpoint) < 0) {
			const least = minBy(state.listAssignments(endpoint), assignment => state.models.get(assignment.model)?.demand ?? 0);
			if (!least) {
				return;
			}

			state.unassign(endpoint, least.model);
		}
	});
};

const placeRequiredReplicas = (state: PlacementState, model: PlacedModel, budget: {remaining: number}): string[] => {
	const missing = model.minReplicas - state.listHolders(model.name, AssignmentMode.Resident).length;
	const placed = Array.from({length: Math.max(0, missing)}, () => placeResident(state, model));
	budget.remaining -= placed.filter(Boolean).length;
	const lacking = placed.filter(isPlaced => !isPlaced).length;
	return lacking === 0
		? []
		: [`${model.name} asks for ${model.minReplicas} resident replicas of size ${model.size}; ${lacking} of them find no room on the endpoints of ${model.service}`];
};

/** Places a resident replica in free memory, or frees memory that isn't required if there is none. */
const placeResident = (state: PlacementState, model: PlacedModel): boolean => {
	const assignment = {model: model.name, mode: AssignmentMode.Resident};
	const promoted = state.listHolders(model.name, AssignmentMode.OnDemand);
	const target = promoted.find(endpoint => state.fits(endpoint, assignment))
		?? state.findBestCandidate(model, assignment)
		?? [...promoted, ...listBySpread(state, model)].find(endpoint => freeMemory(state, endpoint, assignment, hasExtraResidents));
	if (target) {
		state.assign(target, assignment);
	}

	return target !== undefined;
};

/** Lists candidates for a model, the best first. */
const listBySpread = (state: PlacementState, model: PlacedModel): PlacedEndpoint[] => state.listCandidates(model).toSorted(state.compareForSpread(model));

/** Places a model without required replicas on one endpoint: resident if there is free memory, otherwise on demand. */
const ensureReachable = (state: PlacementState, model: PlacedModel, mayDemote: MayDemote): string[] => {
	if (state.listHolders(model.name).length > 0) {
		return [];
	}

	const resident = {model: model.name, mode: AssignmentMode.Resident};
	const onDemand = {model: model.name, mode: AssignmentMode.OnDemand};
	const withFreeMemory = state.findBestCandidate(model, resident);
	if (withFreeMemory) {
		state.assign(withFreeMemory, resident);
		return [];
	}

	const shared = state.findBestCandidate(model, onDemand)
		?? listBySpread(state, model).find(endpoint => freeMemory(state, endpoint, onDemand, mayDemote));
	if (!shared) {
		return [`${model.name} of size ${model.size} can't be made reachable: no endpoint of ${model.service} has room for it even on demand`];
	}

	state.assign(shared, onDemand);
	return [];
};

/** Removes replicas above the required number, then demotes residents that need not be resident to on demand. */
const freeMemory = (state: PlacementState, endpoint: PlacedEndpoint, assignment: Assignment, mayDemote: MayDemote): boolean => {
	const before = state.listAssignments(endpoint);
	const byDemand = before.toSorted((a, b) => (state.models.get(a.model)?.demand ?? 0) - (state.models.get(b.model)?.demand ?? 0));
	byDemand
		.filter(held => held.mode === AssignmentMode.Resident && isRemovable(state, held.model))
		.forEach(held => {
			if (!state.fits(endpoint, assignment)) {
				state.unassign(endpoint, held.model);
			}
		});
	byDemand
		.filter(held => state.listAssignments(endpoint).includes(held) && held.mode === AssignmentMode.Resident && mayDemote(state, held.model))
		.forEach(held => {
			if (!state.fits(endpoint, assignment)) {
				state.assign(endpoint, {model: held.model, mode: AssignmentMode.OnDemand});
			}
		});
	if (state.fits(endpoint, assignment)) {
		return true;
	}

	state.restore(endpoint, before);
	return false;
};

/** Decides whether a resident replica of a model may be demoted to on demand. */
type MayDemote = (state: PlacementState, name: string) => boolean;

/** Whether a model has more residents than are required. */
const hasExtraResidents: MayDemote = (state, name) =>
	state.listHolders(name, AssignmentMode.Resident).length > (state.models.get(name)?.minReplicas ?? 0);

/** Whether a resident replica may be removed: the required number remains, and more replicas than required are confirmed to be loaded. */
const isRemovable = (state: PlacementState, name: string): boolean => {
	const holders = state.listHolders(name, AssignmentMode.Resident);
	const required = Math.max(1, state.models.get(name)?.minReplicas ?? 0);
	return holders.length > required && holders.filter(holder => holder.loaded.includes(name)).length > required;
};

/** Adds wanted replicas in free memory, or in place of surplus ones whose demand is lower by more than the cost of a move. */
const addWantedReplicas = (state: PlacementState, model: PlacedModel, budget: {remaining: number}): void => {
	const holders = state.listHolders(model.name, AssignmentMode.Resident).length;
	Array.from({length: Math.max(0, model.wantedReplicas - holders)}).forEach(() => {
		if (budget.remaining > 0 && addWantedReplica(state, model)) {
			budget.remaining -= 1;
		}
	});
};

const addWantedReplica = (state: PlacementState, model: PlacedModel): boolean => {
	const assignment = {model: model.name, mode: AssignmentMode.Resident};
	const promoted = state.listHolders(model.name, AssignmentMode.OnDemand).find(endpoint => state.fits(endpoint, assignment));
	const target = promoted ?? state.findBestCandidate(model, assignment) ?? replaceSurplusReplica(state, model, listBySpread(state, model));
	if (target) {
		state.assign(target, assignment);
	}

	return target !== undefined;
};

/** Returns the demand per replica of a model if it had `extra` more replicas. */
const computeDemandPerReplica = (state: PlacementState, name: string, extra: number): number =>
	(state.models.get(name)?.demand ?? 0) / Math.max(1, state.listHolders(name, AssignmentMode.Resident).length + extra);

const replaceSurplusReplica = (state: PlacementState, model: PlacedModel, candidates: PlacedEndpoint[]): PlacedEndpoint | undefined => {
	const gain = computeDemandPerReplica(state, model.name, 1);
	const assignment = {model: model.name, mode: AssignmentMode.Resident};
	return candidates.find(endpoint => {
		const removable = state.listAssignments(endpoint)
			.filter(held => held.mode === AssignmentMode.Resident && isRemovable(state, held.model) && isSurplus(state, held.model))
			.filter(held => computeDemandPerReplica(state, held.model, -1) * (1 + state.input.moveWeight) < gain);
		const spare = minBy(removable, held => computeDemandPerReplica(state, held.model, -1));
		if (!spare) {
			return false;
		}

		state.unassign(endpoint, spare.model);
		const fits = state.fits(endpoint, assignment);
		if (!fits) {
			state.assign(endpoint, spare);
		}

		return fits;
	});
};

/** Whether a model has more residents than wanted. */
const isSurplus = (state: PlacementState, name: string): boolean =>
	state.listHolders(name, AssignmentMode.Resident).length > (state.models.get(name)?.wantedReplicas ?? 0);
