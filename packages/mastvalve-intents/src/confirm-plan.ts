/**
 * Confirms plans: applies exactly what was reviewed, or nothing.
 */

import {MastvalveError, type Configuration} from 'mastvalve-types';
import {keepConfirmedLoads} from 'mastvalve-configuration';
import {keyBy} from 'mastvalve-utils';
import {err, ok, type Result} from 'neverthrow';
import {declareIntent} from './intent-to-configuration.js';
import {makePlan} from './make-plan.js';
import type {Plan} from './plan.js';

/** Thrown when the base version of a plan is no longer in force. */
export class VersionConflictError extends MastvalveError {
	constructor(base: number, current: number) {
		super('version-conflict', `The plan rests on version ${base}, and version ${current} has been confirmed since. Nothing was changed. `
			+ 'See what won with "mastvalve status", then state the intent again.', {status: 409});
		this.name = 'VersionConflictError';
	}
}

/** Thrown when endpoints have joined or left since the review, so that the plan would now have another effect. */
export class PlanChangedError extends MastvalveError {
	constructor(reviewed: string, current: string) {
		super('plan-changed', `Endpoints have changed since plan ${reviewed.slice(0, 12)} was reviewed. Nothing was changed. Review plan ${current.slice(0, 12)} and confirm that one.`, {status: 409});
		this.name = 'PlanChangedError';
	}
}

/** Thrown when a plan has refusals. */
export class PlanRefusedError extends MastvalveError {
	constructor(refusals: readonly string[]) {
		super('plan-refused', `The plan can't be confirmed: ${refusals.join('; ')}. Nothing was changed. Change the intent or add endpoints, and state it again.`, {status: 422});
		this.name = 'PlanRefusedError';
	}
}

/** Returns the configuration after confirming a plan, at the given revision. */
export const confirmPlan = (configuration: Configuration, plan: Plan, revision: number): Result<Configuration, MastvalveError> => {
	if (plan.baseVersion !== configuration.version) {
		return err(new VersionConflictError(plan.baseVersion, configuration.version));
	}

	const current = makePlan(configuration, plan.intent);
	if (current.id !== plan.id) {
		return err(new PlanChangedError(plan.id, current.id));
	}

	if (plan.refusals.length > 0) {
		return err(new PlanRefusedError(plan.refusals));
	}

	const declared = declareIntent(configuration, plan.intent);
	return ok({
		...declared,
		revision,
		version: configuration.version + 1,
		placements: {...declared.placements, ...keyBy(plan.placements.map(placement => keepConfirmedLoads(configuration, placement)), placement => placement.endpointId)},
	});
};
