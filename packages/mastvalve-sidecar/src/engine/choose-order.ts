/**
 * Which order a sidecar gives its engine next: pure, one at a time.
 */

import {AssignmentMode, OrderKind, type Assignment} from 'mastvalve-types';
import type {MemoryLedger} from './memory-ledger.js';

/** What the choice rests on. */
export type OrderChoiceInput = {
	assignments: readonly Assignment[];
	sizeOf: (model: string) => number;
	/** Models for which requests wait, in the order in which they should be served. */
	waiting: readonly string[];
	/** Whether requests run on a model. */
	isBusy: (model: string) => boolean;
	/** When a model was last used, monotonic ms; older ones give way first. */
	lastUsedAt: (model: string) => number;
};

/** What to order; undefined when nothing is to be done or nothing can be. */
export type OrderChoice = {kind: OrderKind; model: string} | undefined;

/** Chooses the next order. */
export const chooseOrder = (ledger: MemoryLedger, input: OrderChoiceInput): OrderChoice => {
	const mayUnload = (model: string): boolean => !input.isBusy(model) && !ledger.isUnloading(model);
	const assigned = new Map(input.assignments.map(assignment => [assignment.model, assignment.mode]));
	const unassigned = ledger.loaded.find(model => !assigned.has(model) && mayUnload(model));
	if (unassigned !== undefined) {
		return {kind: OrderKind.Unload, model: unassigned};
	}

	const taken = new Set([...ledger.loaded, ...ledger.unproved]);
	const residents = input.assignments.filter(assignment => assignment.mode === AssignmentMode.Resident).map(assignment => assignment.model);
	const wanted = [...input.waiting.filter(model => assigned.has(model)), ...residents].filter(model => !taken.has(model));
	const fitting = wanted.find(model => ledger.canLoad(model, input.sizeOf(model)));
	if (fitting !== undefined) {
		return {kind: OrderKind.Load, model: fitting};
	}

	if (wanted.length === 0) {
		return undefined;
	}

	// Room is made only among what is held on demand, the longest unused first.
	const idle = ledger.loaded
		.filter(model => assigned.get(model) === AssignmentMode.OnDemand && mayUnload(model) && !input.waiting.includes(model))
		.toSorted((a, b) => input.lastUsedAt(a) - input.lastUsedAt(b))[0];
	return idle === undefined ? undefined : {kind: OrderKind.Unload, model: idle};
};
