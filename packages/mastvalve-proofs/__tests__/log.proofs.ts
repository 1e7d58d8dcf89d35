/**
 * Proofs of the replicated log and its journal (property 8, and 5 and 7 as far as they rest on it).
 */

import {strict as assert} from 'node:assert';
import fc from 'fast-check';
import {
	defaultReplicaRules, Journal, journalFormat, type DurableWrite, type ReplicaRules,
} from 'mastvalve-replication';
import {
	checkProperty, Property, Variant, type Proof,
} from '../src/index.js';
import {CrashingFiles} from './crashing-files.js';
import {
	ClusterModel, StepKind, type ClusterOptions, type Step,
} from './cluster-model.js';

type Weights = ReadonlyArray<[StepKind, number]>;

const allSteps: Weights = [
	[StepKind.DeliverAll, 30],
	[StepKind.Advance, 30],
	[StepKind.Deliver, 12],
	[StepKind.Propose, 12],
	[StepKind.Drop, 4],
	[StepKind.Repeat, 3],
	[StepKind.Read, 8],
	[StepKind.Crash, 3],
	[StepKind.Restart, 5],
	[StepKind.Cut, 3],
	[StepKind.CutOneWay, 2],
	[StepKind.Heal, 4],
	[StepKind.Freeze, 2],
	[StepKind.Thaw, 4],
	[StepKind.HandOver, 2],
	[StepKind.Compact, 2],
	[StepKind.Duty, 8],
	[StepKind.LoseDisk, 1],
];

const without = (weights: Weights, ...excluded: StepKind[]): Weights => weights.filter(([kind]) => !excluded.includes(kind));

const keptDisks = without(allSteps, StepKind.LoseDisk);

/** Leaders that are cut off or frozen, and reads. */
const isolationSteps: Weights = [
	[StepKind.DeliverAll, 30], [StepKind.Advance, 25], [StepKind.Propose, 12], [StepKind.Read, 14], [StepKind.Cut, 3], [StepKind.Heal, 1], [StepKind.Freeze, 3], [StepKind.Thaw, 4],
];

/** Leaders that are suspended while others elect one and commit, and reads as soon as they wake. */
const suspensionSteps: Weights = [
	[StepKind.DeliverAll, 30], [StepKind.Advance, 25], [StepKind.Propose, 14], [StepKind.Read, 14], [StepKind.Suspend, 3], [StepKind.Thaw, 3],
];

const stepArbitrary = (weights: Weights): fc.Arbitrary<Step> => fc.record({
	kind: fc.oneof(...weights.map(([kind, weight]) => ({weight, arbitrary: fc.constant(kind)}))),
	pick: fc.nat(1000),
});

/** Time goes by, and all messages arrive: as long as an election takes, and some more. */
const electionSteps = (kinds: readonly StepKind[]): StepKind[] => Array.from({length: 8}, () => [StepKind.Advance, StepKind.DeliverAll, ...kinds]).flat();

/** A node that is cut off or frozen while others elect a leader and commit, and reads then; `pick` of 0 to 1,000 for each step. */
const isolationEpisode = fc.tuple(fc.constantFrom(StepKind.Cut, StepKind.Freeze), fc.nat(1000), fc.array(fc.integer({min: 40, max: 110}), {minLength: 40, maxLength: 40})).map(([isolate, node, picks]): Step[] => [
	{kind: isolate, pick: node},
	...electionSteps([StepKind.Propose, StepKind.DeliverAll, StepKind.DeliverAll]).map((kind, index) => ({kind, pick: picks[index % picks.length] ?? 0})),
	{kind: isolate === StepKind.Freeze ? StepKind.Thaw : StepKind.Read, pick: node},
]);

/** Several nodes miss their leader and call for votes at once, and the votes arrive one by one in any order: two rounds of them. */
const splitElectionEpisode = fc.tuple(fc.array(fc.integer({min: 60, max: 119}), {minLength: 2, maxLength: 2}), fc.array(fc.nat(1000), {minLength: 70, maxLength: 70})).map(([waits, picks]): Step[] => [
	...waits.map(pick => ({kind: StepKind.Advance, pick})),
	...picks.map(pick => ({kind: StepKind.Deliver, pick})),
	{kind: StepKind.DeliverAll, pick: 0},
	...[0, 1].map(pick => ({kind: StepKind.Propose, pick})),
	{kind: StepKind.DeliverAll, pick: 0},
]);

const clusterArbitrary = (size: number, weights: Weights, episode: fc.Arbitrary<Step[]> | undefined) =>
	fc.record({
		seed: fc.nat(), size: fc.constant(size), steps: fc.array(episode
			? fc.oneof({weight: 25, arbitrary: stepArbitrary(weights).map(step => [step])}, {weight: 1, arbitrary: episode})
			: stepArbitrary(weights).map(step => [step]), {minLength: 60, maxLength: 400, size: 'max'}).map(parts => parts.flat()),
	});

const runSteps = (options: ClusterOptions, steps: readonly Step[]): ClusterModel => {
	const model = new ClusterModel(options);
	steps.forEach(step => {
		model.step(step);
	});
	return model;
};

/** A twin's faults: rules of the replica, how its disk fails, or what it makes of a suspension. */
type BrokenCluster = {rules?: Partial<ReplicaRules>} & Pick<ClusterOptions, 'losesLastWrite' | 'keepsIdentity' | 'trustsSteadyClock'>;

/** What differs between the proofs on a cluster. */
type ClusterProofOptions = {broken: BrokenCluster; size?: number; weights?: Weights;
/** Steps that follow each other as the twin's fault needs them, now and then among the others. */
	episode?: fc.Arbitrary<Step[]>;};

const createClusterProof = (row: Pick<Proof, 'property' | 'failure' | 'scenario' | 'twin'>, {broken, size = 3, weights = keptDisks, episode}: ClusterProofOptions): Proof => ({
	...row,
	run: async (variant, run) => checkProperty(clusterArbitrary(size, weights, episode), ({seed, steps}) => {
		const {rules, ...faults}: BrokenCluster = variant === Variant.Broken ? broken : {};
		const model = runSteps({
			size, seed, rules: {...defaultReplicaRules, ...rules}, ...faults,
		}, steps);
		model.settle();
		assert.ok(model.commonIndex >= model.acknowledgedIndex, `a node has ${model.commonIndex} of ${model.acknowledgedIndex} acknowledged entries after all is well again`);
	}, {...run, variant}),
});

const header = {
	format: journalFormat, replica: 'n1', disk: 'd', clusterId: 'c', initialVoters: ['n1#d'],
};

const createWrite = (term: number, isSnapshot: boolean): DurableWrite => (isSnapshot
	? {
		hardState: {term}, append: [], snapshot: {
			index: term, term, membership: {voters: ['n1#d'], learners: []}, data: term,
		},
	}
	: {hardState: {term}, append: []});

const journalProof: Proof = {
	property: Property.Configuration,
	failure: 'a crash at any file effect, torn writes',
	scenario: 'what the journal said is durable is there after a restart',
	twin: 'sync does nothing',
	run: async (variant, run) => checkProperty(
		fc.record({snapshots: fc.array(fc.boolean(), {minLength: 1, maxLength: 30}), effects: fc.array(fc.nat(25), {minLength: 1, maxLength: 8}), torn: fc.double({min: 0, max: 1, noNaN: true})}),
		async ({snapshots, effects, torn}) => {
			const files = new CrashingFiles(variant === Variant.Real, torn);
			let journal = await Journal.create(files, header);
			let durable = 0;
			let term = 0;
			for (const count of effects) {
				files.effectsLeft = count;
				try {
					for (const isSnapshot of snapshots) {
						term += 1;
						// Writes follow each other as in the log's node.
						// eslint-disable-next-line no-await-in-loop
						await journal.persist(createWrite(term, isSnapshot));
						durable = term;
					}
				} catch {
					// The machine stopped.
				}

				files.crash();
				// eslint-disable-next-line no-await-in-loop
				const opened = await Journal.open(files, 'n1');
				assert.ok(opened, 'the journal is gone');
				assert.ok(opened.restored.hardState.term >= durable, `term ${opened.restored.hardState.term} after ${durable} was durable`);
				journal = opened;
			}
		},
		{...run, variant},
	),
};

const outliveElections: ReplicaRules['computeLeaseEnd'] = (acknowledgedAt, times) => acknowledgedAt + (times.electionTimeoutMs * 20);

/** The proofs. */
export const logProofs: Proof[] = [
	createClusterProof({
		property: Property.Configuration,
		failure: 'loss, delay, repeats, reordering, crashes, cuts, freezes, lost disks',
		scenario: 'no two replicas ever apply different entries (3 replicas)',
		twin: 'any log may be voted for',
	}, {broken: {rules: {isLogUpToDate: () => true}}}),
	createClusterProof({
		property: Property.Configuration,
		failure: 'split elections, repeated votes, restarts',
		scenario: 'one leader a term (5 replicas)',
		twin: 'a second vote in a term is given',
	}, {broken: {rules: {mayGrantVote: () => true}}, size: 5, episode: splitElectionEpisode}),
	createClusterProof({
		property: Property.Configuration,
		failure: 'a leader that is cut off or frozen and still believes that it leads',
		scenario: 'a fresh read shows all that was acknowledged',
		twin: 'the lease outlives the election timeout',
	}, {broken: {rules: {computeLeaseEnd: outliveElections}}, weights: isolationSteps, episode: isolationEpisode}),
	createClusterProof({
		property: Property.Configuration,
		failure: 'a leader that is suspended, for which no time goes by meanwhile',
		scenario: 'a fresh read shows all that was acknowledged',
		twin: 'what was heard before a suspension counts on waking',
	}, {broken: {trustsSteadyClock: true}, weights: suspensionSteps}),
	createClusterProof({
		property: Property.Configuration,
		failure: 'crashes and restarts at any step',
		scenario: 'what was acknowledged survives',
		twin: 'a crash loses the last write',
	}, {broken: {losesLastWrite: true}}),
	createClusterProof({
		property: Property.Configuration,
		failure: 'a lost disk, and a second loss right after the repair',
		scenario: 'a replica returns under a new identity and nothing is lost',
		twin: 'a lost disk returns under its former identity',
	}, {broken: {keepsIdentity: true}, weights: [...allSteps, [StepKind.LoseDisk, 6], [StepKind.Duty, 15]]}),
	createClusterProof({
		property: Property.PlannedStop,
		failure: 'a leader hands over while messages are lost and late',
		scenario: 'no acknowledged change is lost and no stale read is given by a leader that hands over',
		twin: 'the lease outlives the hand-over\'s election, and any log may be voted for',
	}, {broken: {rules: {isLogUpToDate: () => true, computeLeaseEnd: outliveElections}}, weights: without(keptDisks, StepKind.Crash)}),
	journalProof,
];
