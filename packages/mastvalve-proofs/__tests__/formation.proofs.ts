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
	FormationModel, FormationStepKind, type DecideFormation, type FormationModelOptions, type FormationStep,
} from './formation-model.js';

/** How often each step is drawn, relative to the others. */
type Weights = Record<FormationStepKind, number>;

const withDisks: FormationModelOptions = {instances: 4, seeds: 3, seedsHaveDisks: true};
const withoutDisks: FormationModelOptions = {instances: 4, seeds: 2, seedsHaveDisks: false};

const processWeights: Weights = {
	[FormationStepKind.Start]: 6,
	[FormationStepKind.Initialize]: 6,
	[FormationStepKind.Ask]: 30,
	[FormationStepKind.Announce]: 0,
	[FormationStepKind.Decide]: 8,
	[FormationStepKind.Record]: 8,
	[FormationStepKind.Kill]: 2,
	[FormationStepKind.LoseDisk]: 0,
};

const diskWeights: Weights = {...processWeights, [FormationStepKind.Kill]: 1, [FormationStepKind.LoseDisk]: 1};

/** Seeds without a disk have only their memory to lose. */
const disklessWeights: Weights = {
	...processWeights, [FormationStepKind.Ask]: 10, [FormationStepKind.Announce]: 3, [FormationStepKind.Decide]: 3, [FormationStepKind.Record]: 3, [FormationStepKind.Kill]: 1,
};

/** One whole turn of an instance for this many single steps. */
const stepsPerTurn = 10;

const takeTurn = (at: number, instances: number): FormationStep[] => [
	...Array.from({length: instances}, (_, peer) => ({kind: FormationStepKind.Ask, at, peer})),
	{kind: FormationStepKind.Decide, at, peer: 0},
	{kind: FormationStepKind.Record, at, peer: 0},
];

/** All instances write their identities. Without seeds that keep the log, the first one also names the last instance as founder, which goes on alone, and then restarts. */
const listBeginning = ({instances, seedsHaveDisks}: FormationModelOptions): FormationStep[] => {
	const [first, last] = [0, instances - 1];
	const started = [FormationStepKind.Start, FormationStepKind.Initialize].flatMap(kind => Array.from({length: instances}, (_, at) => ({kind, at, peer: 0})));
	const named = [
		{kind: FormationStepKind.Announce, at: last, peer: first},
		...[first, last, last].flatMap(at => takeTurn(at, instances)),
		{kind: FormationStepKind.Kill, at: first, peer: 0},
		{kind: FormationStepKind.Start, at: first, peer: 0},
	];
	return seedsHaveDisks ? started : [...started, ...named];
};

/** Any steps, without seeds that keep the log also whole turns of an instance now and then; half of the histories have a given beginning. */
const stepsArbitrary = (weights: Weights, place: FormationModelOptions): fc.Arbitrary<FormationStep[]> => {
	const {instances} = place;
	const step = fc.record({
		kind: fc.oneof(...Object.values(FormationStepKind).map(kind => ({weight: weights[kind], arbitrary: fc.constant(kind)}))),
		at: fc.nat(instances - 1),
		peer: fc.nat(instances - 1),
	});
	const turn = fc.nat(instances - 1).map(at => takeTurn(at, instances));
	const steps = fc.array(fc.oneof({weight: stepsPerTurn, arbitrary: step.map(single => [single])}, {weight: place.seedsHaveDisks ? 0 : 1, arbitrary: turn}), {minLength: 60, maxLength: 300, size: 'max'});
	return fc.tuple(fc.boolean(), steps).map(([hasBegun, rest]) => [...(hasBegun ? listBeginning(place) : []), ...rest.flat()]);
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

/** Whom any seed names as founder creates the log, whatever the other seeds answer. */
const obeyAnySeed: DecideFormation = (own, addresses, answers) => {
	const answer = answers.find(({founder}) => founder !== undefined && founder === own.replicaId);
	return decideFormation(own, addresses, answer ? addresses.map(address => ({...answer, address})) : answers);
};

const run = (weights: Weights, twin: DecideFormation, check: (model: FormationModel) => void, place = withDisks): Proof['run'] => async (variant, options) => checkProperty(
	stepsArbitrary(weights, place),
	steps => {
		const model = new FormationModel(variant === Variant.Real ? decideFormation : twin, place);
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
}, {
	property: Property.Configuration,
	failure: 'instances are killed between any two steps of the first start, seeds without a disk among them; answers are old',
	scenario: 'no two logs are created when no seed keeps one',
	twin: 'whom any seed names as founder creates the log',
	run: run(disklessWeights, obeyAnySeed, ({logs}) => {
		assert.ok(logs.size <= 1, [...logs].join(', '));
	}, withoutDisks),
}];
