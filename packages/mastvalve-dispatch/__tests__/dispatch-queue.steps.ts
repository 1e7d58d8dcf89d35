/**
 * Steps for claims that wait at the leader.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	Dispatcher, DispatchDecisionKind, RunEventKind, type DispatchClaim, type DispatchDecision,
} from '../src/index.js';
import {DispatchReplay} from './__fixtures__/dispatch-replay.js';
import {
	createOverload, createOverloadedFleet, goodput, kinds, workspaces,
} from './__fixtures__/overload.js';
import {checkWorkConservation} from './__fixtures__/queue-histories.js';
import type {ReplayedRun} from './__fixtures__/replayed-run.js';
import {createClaim} from './__fixtures__/workloads.js';

type QueueWorld = World & {
	replay: DispatchReplay;
	runs: ReplayedRun[];
	dispatcher: Dispatcher;
	engines: string[];
	decisions: DispatchDecision[];
	now: number;
};

const entry = 'entry-0';
const seed = 1;
const msPerSecond = 1000;
const drainMs = 12_000;
/** The load is steady in this part of the replay. */
const steady = {fromMs: 8000, toMs: 20_000};

const startReplay = (world: QueueWorld, entries: number, hasQueue: boolean): void => {
	world.replay = new DispatchReplay(entries, createOverloadedFleet(), seed, {hasQueue});
};

Given('{int} entries before 8 engines with a queue at the leader, in virtual time', function (this: QueueWorld, entries: number) {
	startReplay(this, entries, true);
});

Given('{int} entries before 8 engines without a queue, in virtual time', function (this: QueueWorld, entries: number) {
	startReplay(this, entries, false);
});

When('{float} times their capacity arrives for {int} s', function (this: QueueWorld, factor: number, seconds: number) {
	const all = createOverload(factor, seconds, seed);
	this.replay.play(all, (seconds * msPerSecond) + drainMs);
	this.runs = all.filter(({arrivedAt}) => arrivedAt >= steady.fromMs && arrivedAt < steady.toMs);
});

const steadyGoodput = ({runs}: QueueWorld): number => goodput(runs, (steady.toMs - steady.fromMs) / msPerSecond);

const shareInObjective = ({runs}: QueueWorld, kind: string): number => {
	const chosen = runs.filter(run => run.kind.startsWith(kind));
	return chosen.filter(({isInObjective}) => isInObjective).length / chosen.length;
};

Then('at least {float} of the capacity goes into requests in their objective', function (this: QueueWorld, share: number) {
	assert.ok(steadyGoodput(this) >= share, String(steadyGoodput(this)));
});

Then('less than {float} of the capacity goes into requests in their objective', function (this: QueueWorld, share: number) {
	assert.ok(steadyGoodput(this) < share, String(steadyGoodput(this)));
});

Then('every kind has at least {float} in its objective', function (this: QueueWorld, share: number) {
	const shares = kinds.map(({kind}) => shareInObjective(this, kind));
	assert.ok(shares.every(each => each >= share), shares.join(', '));
});

Then('no kind has a smaller share in its objective than a less urgent one', function (this: QueueWorld) {
	const shares = kinds.map(({kind}) => shareInObjective(this, kind));
	assert.deepEqual(shares, shares.toSorted((a, b) => b - a));
});

// With eight times its usual load "a" requests more than the others together, so the fair share of the others is all that they send, in
// kinds of which anything more than that is served.
Then('no workspace is under its fair share by more than {float}', function (this: QueueWorld, most: number) {
	const served = kinds.filter(({kind}) => shareInObjective(this, kind) > 0.3);
	served.flatMap(({kind}) => workspaces.filter(({weight}) => weight === 1).map(({name}) => shareInObjective(this, `${kind}-${name}`))).forEach(share => {
		assert.ok(share >= 1 - most, String(share));
	});
});

Then('every request was answered or refused before its deadline', function (this: QueueWorld) {
	const open = this.runs.filter(({isRefused, firstByteMs, claim}) => !isRefused && firstByteMs > claim.remainingMs);
	assert.deepEqual(open.map(({kind, firstByteMs}) => ({kind, firstByteMs})), []);
});

Then('{int} random histories of a queue keep all engines at work', (count: number) => {
	const {failed, counterexample} = checkWorkConservation(count);
	assert.ok(!failed, JSON.stringify(counterexample));
});

Then('some of {int} random histories find an idle engine if the queue {string}', (count: number, twin: string) => {
	assert.ok(checkWorkConservation(count, twin).failed);
});

Given('a queue before engine {string}', function (this: QueueWorld, engine: string) {
	this.now = 0;
	this.engines = [engine];
	this.decisions = [];
	this.dispatcher = new Dispatcher({
		listHolders: () => this.engines.map(id => ({
			id, isSilent: false, slots: 200, tokenCapacity: 1_000_000,
		})),
		isKnown: () => true,
		hasQueue: true,
	});
});

const send = (world: QueueWorld, claim: Partial<DispatchClaim> & {id: string}): void => {
	world.dispatcher.recordContact(entry, world.now);
	world.decisions.push(world.dispatcher.claim(entry, createClaim({model: 'hot', promptTokens: 9000, ...claim}), world.now));
};

const take = (world: QueueWorld, afterMs = 10): void => {
	world.now += afterMs;
	world.decisions = world.dispatcher.takeDecisions(entry, world.now);
};

const assertDecided = ({decisions}: QueueWorld, kind: DispatchDecisionKind, ids: string[]): void => {
	assert.deepEqual(decisions.map(decision => ({id: decision.id, kind: decision.kind})), ids.map(id => ({id, kind})));
};

const read = (world: QueueWorld, id: string): void => {
	world.now += 270;
	world.dispatcher.record({id, kind: RunEventKind.FirstByte, ageMs: 0}, world.now);
	take(world, 0);
};

When('claims {string} arrive, each with its urgency, and {string} is assigned', function (this: QueueWorld, claims: string, first: string) {
	claims.split(',').map(text => text.split(':')).forEach(([id, urgency]) => {
		send(this, {id: id!, urgency: Number(urgency)});
	});
	assert.deepEqual(this.decisions.filter(({kind}) => kind === DispatchDecisionKind.Assigned).map(({id}) => id), [first]);
	this.decisions = [];
});

When('the prompt of {string} is read', function (this: QueueWorld, id: string) {
	read(this, id);
});

When('the caller of {string} leaves', function (this: QueueWorld, id: string) {
	this.dispatcher.record({id, kind: RunEventKind.Cancelled, ageMs: 0}, this.now);
});

When('the entry is silent for {int} ms', function (this: QueueWorld, ms: number) {
	this.now += ms;
	this.dispatcher.sweep(this.now);
	take(this);
});

When('{string} no longer holds the model', function (this: QueueWorld, engine: string) {
	this.engines = this.engines.filter(id => id !== engine);
	take(this);
});

When('{int} claims of {int} tokens arrive whose callers wait for {int} ms', function (this: QueueWorld, count: number, promptTokens: number, remainingMs: number) {
	Array.from({length: count}).forEach((_, index) => {
		send(this, {id: `late-${index}`, promptTokens, remainingMs});
	});
});

When('{int} claims of workspace {string} arrive', function (this: QueueWorld, count: number, workspace: string) {
	Array.from({length: count}).forEach((_, index) => {
		send(this, {id: `${workspace}-${index}`, workspace});
	});
});

Then('{string} is assigned, and {string} wait', function (this: QueueWorld, id: string, waiting: string) {
	assertDecided(this, DispatchDecisionKind.Assigned, [id]);
	assert.equal(this.dispatcher.waitingCount, waiting.split(',').length);
});

Then('{string} is assigned, and none waits', function (this: QueueWorld, id: string) {
	assertDecided(this, DispatchDecisionKind.Assigned, [id]);
	assert.equal(this.dispatcher.waitingCount, 0);
});

Then('none is assigned, and none waits', function (this: QueueWorld) {
	assertDecided(this, DispatchDecisionKind.Assigned, []);
	assert.equal(this.dispatcher.waitingCount, 0);
});

Then('{string} has no holder, and none waits', function (this: QueueWorld, id: string) {
	assertDecided(this, DispatchDecisionKind.NoHolder, [id]);
	assert.equal(this.dispatcher.waitingCount, 0);
});

Then('some are refused within {int} ms, with the time by which the last would be late', function (this: QueueWorld, ms: number) {
	take(this, ms);
	const refused = this.decisions.filter(decision => decision.kind === DispatchDecisionKind.Refused);
	// 270 ms each, one after another, behind one in reading: eleven begin in time, or ten if the first is overdue.
	assert.ok(refused.length >= 19 && refused.length <= 21, String(refused.length));
	assert.ok(refused.every(({retryAfterMs}) => retryAfterMs > 0 && retryAfterMs <= 400), JSON.stringify(refused));
});

When('the prompts of {int} of them are read, and no other for {int} ms', function (this: QueueWorld, count: number, ms: number) {
	read(this, 'a');
	Array.from({length: count - 1}).forEach((_, index) => {
		read(this, `late-${index}`);
	});
	this.now += ms;
});

Then('all are refused within {int} ms, each with the time until the engine could have read it in {int} ms', function (this: QueueWorld, ms: number, remainingMs: number) {
	const sentAt = 0;
	take(this, ms);
	const refused = this.decisions.filter(decision => decision.kind === DispatchDecisionKind.Refused);
	assert.equal(refused.length, this.decisions.length);
	assert.equal(this.dispatcher.waitingCount, 0);
	// The prompt in reading is overdue, so a tenth of its 270 ms is expected to be left, and another 270 ms for the claim's own.
	const expected = this.now + 27 + 270 - sentAt - remainingMs;
	assert.ok(refused.length > 0 && refused.every(({retryAfterMs}) => Math.abs(retryAfterMs - expected) < 30), JSON.stringify({refused, expected}));
});

Then('of the first {int} that are assigned {int} are of workspace {string}', function (this: QueueWorld, first: number, count: number, workspace: string) {
	let reading = 'a';
	const assigned = Array.from({length: first}, () => {
		read(this, reading);
		const [decision] = this.decisions;
		reading = decision!.id;
		return reading;
	});
	assert.equal(assigned.filter(id => id.startsWith(workspace)).length, count, assigned.join(','));
});
