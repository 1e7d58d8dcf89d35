/**
 * Proofs of property 8 on the platform: control forms one log at the first start, and never two.
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {decideFormation, type Identity} from 'mastvalve-cluster';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';
import {
	FormationModel, FormationStepKind, type DecideFormation, type FormationStep,
} from './formation-model.js';

/** How often each step is drawn, relative to the others. */
type Weights = Record<FormationStepKind, number>;

const instances = 4;
const seeds = 3;

const processWeights: Weights = {
	[FormationStepKind.Start]: 6,
	[FormationStepKind.Initialize]: 6,
	[FormationStepKind.Ask]: 30,
	[FormationStepKind.Decide]: 8,
	[FormationStepKind.Record]: 8,
	[FormationStepKind.Kill]: 2,
	[FormationStepKind.LoseDisk]: 0,
};

const diskWeights: Weights = {...processWeights, [FormationStepKind.Kill]: 1, [FormationStepKind.LoseDisk]: 1};

/** Any steps; half of the histories begin when all instances have written their identities. */
const stepsArbitrary = (weights: Weights): fc.Arbitrary<FormationStep[]> => {
	const began = [FormationStepKind.Start, FormationStepKind.Initialize].flatMap(kind => Array.from({length: instances}, (_, at) => ({kind, at, peer: 0})));
	const steps = fc.array(fc.record({
		kind: fc.oneof(...Object.values(FormationStepKind).map(kind => ({weight: weights[kind], arbitrary: fc.constant(kind)}))),
		at: fc.nat(instances - 1),
		peer: fc.nat(instances - 1),
	}), {minLength: 60, maxLength: 300, size: 'max'});
	return fc.tuple(fc.boolean(), steps).map(([hasBegun, rest]) => (hasBegun ? [...began, ...rest] : rest));
};

/** The founders create the log once they know each other, without a record of it at all of them. */
const formAtOnce: DecideFormation = (own, addresses, answers) => {
	const founders = decideFormation(own, addresses, answers)?.initialVoters;
	return founders && decideFormation({...own, initialVoters: founders}, addresses, answers.map(answer => ({...answer, initialVoters: founders})));
};

/** A seed that may not begin keeps the others from it. */
const waitForEverySeed: DecideFormation = (own, addresses, answers) => {
	const mayAllBegin = [own, ...answers].filter(({address}) => addresses.includes(address)).every(({mayBegin}: Identity) => mayBegin);
	return mayAllBegin || answers.some(({clusterId}) => clusterId !== undefined) ? decideFormation(own, addresses, answers) : undefined;
};

const run = (weights: Weights, twin: DecideFormation, check: (model: FormationModel) => void): Proof['run'] => async (variant, options) => checkProperty(
	stepsArbitrary(weights),
	steps => {
		const model = new FormationModel(variant === Variant.Real ? decideFormation : twin, {instances, seeds});
		steps.forEach(step => {
			model.step(step);
		});
		model.settle();
		check(model);
	},
	{...options, variant},
);

/** The proofs. */
export const formationProofs: Proof[] = [{
	property: Property.Configuration,
	failure: 'instances are killed between any two steps of the first start, answers are old, any disks are lost',
	scenario: 'no two logs are created',
	twin: 'founders create the log without a record at each of them',
	run: run(diskWeights, formAtOnce, ({logs}) => {
		assert.ok(logs.size <= 1, [...logs].join(', '));
	}),
}, {
	property: Property.Configuration,
	failure: 'instances are killed between any two steps of the first start',
	scenario: 'one log is created if a seed has written that it may begin',
	twin: 'a seed that was killed before it wrote its disk keeps the others waiting',
	run: run(processWeights, waitForEverySeed, ({logs, mustForm, isFormed}) => {
		assert.ok(logs.size <= 1, [...logs].join(', '));
		assert.ok(isFormed || !mustForm, 'no log is created');
	}),
}];
