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
	/** A model that takes no new requests, so that it can make room. */
	draining: string | undefined;
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
		.filter(model => assigned.get(model) === AssignmentMode.OnDemand && mayUnload(model) && (model === input.draining || !input.waiting.includes(model)))
		.toSorted((a, b) => input.lastUsedAt(a) - input.lastUsedAt(b))[0];
	return idle === undefined ? undefined : {kind: OrderKind.Unload, model: idle};
};

/** What the choice of a model to drain rests on. */
export type DrainChoiceInput = Pick<OrderChoiceInput, 'assignments' | 'sizeOf' | 'waiting' | 'isBusy' | 'draining'> & {
	/** For how long a model has been loaded, ms. */
	loadedForMs: (model: string) => number;
};

/** A model that is held on demand serves for this long at the least before it makes room, ms. */
export const minServeMs = 3000;

/**
 * Which model held on demand takes no new requests from now on, so that others for which requests wait get their turn
 * however busy it is. The one that has been loaded for longest goes first; undefined when nobody waits in vain.
 */
export const chooseDraining = (ledger: MemoryLedger, input: DrainChoiceInput): string | undefined => {
	const modes = new Map(input.assignments.map(assignment => [assignment.model, assignment.mode]));
	const taken = new Set([...ledger.loaded, ...ledger.unproved]);
	const isWaiting = input.waiting.some(model => modes.has(model) && !taken.has(model) && !ledger.canLoad(model, input.sizeOf(model)));
	if (!isWaiting) {
		return undefined;
	}

	if (input.draining !== undefined && ledger.loaded.includes(input.draining)) {
		return input.draining;
	}

	return ledger.loaded
		.filter(model => modes.get(model) === AssignmentMode.OnDemand && input.isBusy(model) && input.loadedForMs(model) >= minServeMs)
		.toSorted((a, b) => input.loadedForMs(b) - input.loadedForMs(a))[0];
};
