/**
 * `npm run bench -- dispatch`: what the choice of an engine costs the leader, by the number of engines that hold the model.
 */

import {
	Dispatcher, DispatchDecisionKind, RunEventKind, type DispatchClaim, type DispatchDecision,
} from 'mastvalve-dispatch';
import {
	createRandom, pickBelow, systemClock, type Random,
} from 'mastvalve-utils';
import type {BenchTable} from '../log/log-bench.js';
import {quantile} from '../statistics.js';

const holderCounts = [3, 30, 300];
const waitingCounts = [0, 500];
const runsPerEngine = 8;
const claimsPerRound = 50;
const rounds = 41;
const microsecondsPerMs = 1000;
const entry = 'entry';
/** Time between rounds, ms. */
const roundMs = 20;

const createClaim = (id: string, random: Random, urgency = 0): DispatchClaim => ({
	id,
	service: 'models',
	model: 'm',
	promptTokens: 7000,
	promptParts: [{id: `a${pickBelow(random, 3)}`, tokens: 2000}, {id: `b${pickBelow(random, 103)}`, tokens: 4300}],
	outputTokens: 290,
	urgency,
	objectiveMs: 600,
	targetMs: 600,
	remainingMs: 60_000,
	pauseMs: 600,
	excluded: [],
});

const createDispatcher = (holders: number, hasQueue: boolean): Dispatcher => {
	const candidates = Array.from({length: holders}, (_, index) => ({
		id: `engine-${index}`, isSilent: false, slots: 64, tokenCapacity: 167_000,
	}));
	return new Dispatcher({listHolders: () => candidates, isKnown: () => true, hasQueue});
};

/** Runs in progress: half of them generate their answer. */
const adoptRuns = (dispatcher: Dispatcher, holders: number, random: Random): void => {
	Array.from({length: holders * runsPerEngine}).forEach((_, index) => {
		dispatcher.adopt(entry, {
			claim: createClaim(`adopted-${index}`, random), endpoint: `engine-${index % holders}`, ageMs: 10, hasBegun: index % (2 * holders) < holders,
		}, 0);
	});
};

const timeMs = (run: () => void): number => {
	const startedAt = systemClock.now();
	run();
	return systemClock.now() - startedAt;
};

const end = (dispatcher: Dispatcher, decisions: readonly DispatchDecision[], now: number): void => {
	decisions.filter(({kind}) => kind === DispatchDecisionKind.Assigned).forEach(({id}) => {
		dispatcher.record({id, kind: RunEventKind.FirstByte, ageMs: 1}, now);
		dispatcher.record({id, kind: RunEventKind.Completed, ageMs: 0}, now);
	});
};

/** Median time of a claim, µs, while others are in progress. */
const measureClaims = (holders: number): number => {
	const random = createRandom(1);
	const dispatcher = createDispatcher(holders, false);
	adoptRuns(dispatcher, holders, random);
	return quantile(Array.from({length: rounds}, (_, round) => {
		const claims = Array.from({length: claimsPerRound}, (_unused, index) => createClaim(`${round}-${index}`, random));
		let decisions: DispatchDecision[] = [];
		const ms = timeMs(() => {
			decisions = claims.map(claim => dispatcher.claim(entry, claim, round * roundMs));
		});
		end(dispatcher, decisions, round * roundMs);
		return ms / claimsPerRound * microsecondsPerMs;
	}), 0.5);
};

/** Median time of one look at the queue, µs, with claims that wait and no engine that has room. */
const measureLooks = (holders: number, waiting: number): number => {
	const random = createRandom(1);
	const dispatcher = createDispatcher(holders, true);
	adoptRuns(dispatcher, holders, random);
	Array.from({length: waiting}).forEach((_, index) => {
		dispatcher.claim(entry, createClaim(`waiting-${index}`, random), 0);
	});
	return quantile(Array.from({length: rounds}, (_, round) => timeMs(() => {
		dispatcher.takeDecisions(entry, (round + 1) * roundMs);
	}) * microsecondsPerMs), 0.5);
};

const measureHolders = (holders: number): string[] =>
	[String(holders), ...[measureClaims(holders), ...waitingCounts.map(count => measureLooks(holders, count))].map(us => us.toFixed(1))];

/** The table. */
export const benchDispatch = (): BenchTable[] => [{
	title: `choice of an engine, µs, with ${runsPerEngine} runs in progress at each`,
	rows: [['holders', 'a claim', ...waitingCounts.map(count => `a look at ${count} waiting`)], ...holderCounts.map(holders => measureHolders(holders))],
}];
