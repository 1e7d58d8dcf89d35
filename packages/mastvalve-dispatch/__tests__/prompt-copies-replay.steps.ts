/**
 * Steps for replays with copies between engines beside the same load without.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {DispatchReplay} from './__fixtures__/dispatch-replay.js';
import {shareInObjective} from './__fixtures__/replay-figures.js';
import type {ReplayedRun} from './__fixtures__/replayed-run.js';
import {createFleet, createMixedLoad} from './__fixtures__/workloads.js';

type Played = {replay: DispatchReplay; runs: ReplayedRun[]};
type CopyReplayWorld = World & {seed: number; copying: Played; reading: Played};

const msPerSecond = 1000;
const drainMs = 10_000;
/** 160 KB a token over 100 Gbit/s. */
const copyMsPerToken = 0.0131;
const failureDomains = 6;

const createReplay = (entries: number, seed: number, hasCopies: boolean): Played => {
	const fleet = createFleet().map((shape, index) => ({...shape, failureDomain: `domain-${index % failureDomains}`, ...(hasCopies ? {copyMsPerToken} : {})}));
	return {replay: new DispatchReplay(entries, fleet, seed, {hasQueue: true}), runs: []};
};

Given('{int} entries before 29 engines, replayed with copies and without from seed {int}', function (this: CopyReplayWorld, entries: number, seed: number) {
	this.seed = seed;
	this.copying = createReplay(entries, seed, true);
	this.reading = createReplay(entries, seed, false);
});

Given('copies bring nothing', function (this: CopyReplayWorld) {
	this.copying.replay.engines.forEach(engine => {
		engine.hasNothingToCopy = true;
	});
});

When('long prompts and chats arrive at {float} times today\'s rates for {int} s in both', function (this: CopyReplayWorld, factor: number, seconds: number) {
	[this.copying, this.reading].forEach(played => {
		played.runs = createMixedLoad(factor, seconds, this.seed);
		played.replay.play(played.runs, (seconds * msPerSecond) + drainMs);
	});
});

const countReadAgain = ({replay}: Played): number => replay.engines.reduce((sum, {readAgainTokens}) => sum + readAgainTokens, 0);

/** By how much copies increase the share of a kind that is in its objective. */
const gainOf = ({copying, reading}: CopyReplayWorld, kind: string): number => shareInObjective(copying.runs, kind) - shareInObjective(reading.runs, kind);

Then('with copies at most {float} of the shared tokens are read again that are without', function (this: CopyReplayWorld, share: number) {
	const ratio = countReadAgain(this.copying) / countReadAgain(this.reading);
	assert.ok(ratio <= share, String(ratio));
});

Then('with copies at least {float} more of the long prompts are in time, and at most {float} fewer of the chats', function (this: CopyReplayWorld, more: number, fewer: number) {
	const gains = {long: gainOf(this, 'long'), chat: gainOf(this, 'chat')};
	assert.ok(gains.chat >= -fewer && gains.long >= more, JSON.stringify(gains));
});

Then('with copies at most {float} fewer of the long prompts and chats are in time', function (this: CopyReplayWorld, share: number) {
	const gains = {long: gainOf(this, 'long'), chat: gainOf(this, 'chat')};
	assert.ok(gains.chat >= -share && gains.long >= -share, JSON.stringify(gains));
});
