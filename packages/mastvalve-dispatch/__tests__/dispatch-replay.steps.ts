/**
 * Steps for replays of long prompts beside chats.
 */

import {strict as assert} from 'node:assert';
import {
	defineParameterType, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {DispatchReplay} from './__fixtures__/dispatch-replay.js';
import {
	ratioOfReading, shareInObjective, shareInterrupted, spreadOfEngines,
} from './__fixtures__/replay-figures.js';
import type {ReplayedEngine} from './__fixtures__/replayed-engine.js';
import type {ReplayedRun} from './__fixtures__/replayed-run.js';
import {createFleet, createMixedLoad} from './__fixtures__/workloads.js';

type ReplayWorld = World & {
	replay: DispatchReplay;
	/** Runs of the second half, when speeds are known and parts were read once. */
	late: ReplayedRun[];
	shareReadAgain: number;
};

defineParameterType({name: 'kind', regexp: /chats|long prompts/v, transformer: text => (text === 'chats' ? 'chat' : 'long')});

const msPerSecond = 1000;
const drainMs = 10_000;
const seed = 1;

const countRead = (engines: readonly ReplayedEngine[]): {all: number; again: number} => ({
	all: engines.reduce((sum, {readTokens}) => sum + readTokens, 0),
	again: engines.reduce((sum, {readAgainTokens}) => sum + readAgainTokens, 0),
});

Given('{int} entries before 29 engines, in virtual time', function (this: ReplayWorld, entries: number) {
	this.replay = new DispatchReplay(entries, createFleet(), seed);
});

When('long prompts and chats arrive at {float} times today\'s rates for {int} s', function (this: ReplayWorld, factor: number, seconds: number) {
	const {replay} = this;
	const endMs = seconds * msPerSecond;
	const runs = createMixedLoad(factor, seconds, seed);
	replay.play(runs, endMs / 2);
	const before = countRead(replay.engines);
	replay.play(runs.filter(({arrivedAt}) => arrivedAt > endMs / 2), endMs + drainMs);
	const after = countRead(replay.engines);
	this.shareReadAgain = (after.again - before.again) / (after.all - before.all);
	this.late = runs.filter(({arrivedAt}) => arrivedAt > endMs / 2);
});

Then('of the chats that began in time at most {float} were interrupted', function (this: ReplayWorld, share: number) {
	assert.ok(shareInterrupted(this.late) <= share, String(shareInterrupted(this.late)));
});

Then('of the long prompts at least {float} were in time', function (this: ReplayWorld, share: number) {
	assert.ok(shareInObjective(this.late, 'long') >= share, String(shareInObjective(this.late, 'long')));
});

Then('the engines differ in the first byte of {kind} by at most a factor of {float}', function (this: ReplayWorld, kind: string, factor: number) {
	assert.ok(spreadOfEngines(this.late, kind) <= factor, String(spreadOfEngines(this.late, kind)));
});

Then('less than {float} of what was read in the second half are parts that an engine had already read', function (this: ReplayWorld, share: number) {
	assert.ok(this.shareReadAgain < share, String(this.shareReadAgain));
});

Then('engines of speed 1.2 have read between {float} and {float} times as much as those of 0.55', function (this: ReplayWorld, low: number, high: number) {
	const ratio = ratioOfReading(this.replay.engines, 1.2, 0.55);
	assert.ok(ratio >= low && ratio <= high, String(ratio));
});
