/**
 * Steps for limits of workspaces while leaders change, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType} from 'mastvalve-utils';
import {
	computeAllowed, computeCapacity, hot, LimitedWorkspaces, quiet, Silence,
} from './__fixtures__/limited-workspaces.js';

type LeaderChangesWorld = World & {entryCount: number; requestTokens: number; silentShare: number; series: LimitedWorkspaces[]};

const seeds = [1, 2];
const cutOffSeeds = [1, 2, 3, 4];
const lostAt = 12_000;
/** Time without a leader, ms: from a loss to the end of an election. */
const leaderlessMs = 900;
/** Time from the first election to the second loss, ms. */
const secondLossAfterMs = 2500;
const silentMs = 4000;
/** Time of the failure, ms: what a first leader can't know of is over by then. */
const peakAt = 24_000;
/** Time after which nothing that happened around the losses counts any more, ms. */
const settledAfterMs = 20_000;
const windowMs = 8000;
/** A workspace that sends several times its limit uses it in bursts, so several windows show what it uses. */
const settledWindows = 3;
const endAt = lostAt + settledAfterMs + (settledWindows * windowMs);
/** Time between two cuts, ms. */
const rejoinedMs = 1000;
/** Time until what entries held that were cut off twice counts no more, ms. */
const cutOffSettledAfterMs = 30_000;
const cutOffEndAt = lostAt + cutOffSettledAfterMs + (settledWindows * windowMs);
const hotLoad = 3;
const quietLoad = 0.35;
/** Uses just less than half of a window. */
const halfLoad = 0.5;
/** Load of another workspace for each entry, so that all entries call the leader. */
const contactLoadPerEntry = 0.1;
const peakLoad = 8;
const peakMs = 6000;
/** Time from the failure until the workspace sends more, ms: entries have noticed it by then. */
const noticedAfterMs = 200;
/** Time from the rise to the loss of the leader, and for which entries are frozen then, ms. */
const riseBeforeMs = 2000;
const riseFrozenMs = 7500;

const runSeries = async (seed: number, entries: number, silent: number, how: Silence): Promise<LimitedWorkspaces> => {
	const fleet = new LimitedWorkspaces({entries, seed});
	const {time} = fleet;
	void fleet.send(hot, hotLoad);
	void fleet.send(quiet, quietLoad);
	const isLostTwice = seed % 2 === 0;
	await time.advance(lostAt);
	fleet.loseLeader();
	fleet.silence(silent, how, silentMs);
	await time.advance(leaderlessMs);
	fleet.electLeader();
	await time.advance(secondLossAfterMs);
	if (isLostTwice) {
		fleet.loseLeader();
		fleet.silence(silent, how, silentMs);
		await time.advance(leaderlessMs);
		fleet.electLeader();
	}

	await time.advance(endAt - time.clock.now());
	fleet.close();
	return fleet;
};

/** Cuts entries off from a leader that goes on serving the others; in each second series some are cut off again. */
const runCutOff = async (seed: number, entries: number, silent: number, cutOffMs: number): Promise<LimitedWorkspaces> => {
	const fleet = new LimitedWorkspaces({entries, seed});
	const {time} = fleet;
	void fleet.send(hot, hotLoad);
	void fleet.send(quiet, quietLoad);
	await time.advance(lostAt);
	fleet.silence(silent, Silence.CutOff, cutOffMs);
	await time.advance(cutOffMs + rejoinedMs);
	if (seed % 2 === 0) {
		fleet.silence(silent, Silence.CutOff, cutOffMs);
	}

	await time.advance(cutOffEndAt - time.clock.now());
	fleet.close();
	return fleet;
};

type Failure = (fleet: LimitedWorkspaces, entries: number) => Promise<void>;

const failures: Record<string, Failure> = {
	async 'all entries are cut off'(fleet, entries) {
		fleet.silence(entries, Silence.CutOff, silentMs);
	},
	async 'half of the entries are cut off'(fleet, entries) {
		fleet.silence(Math.floor(entries / 2), Silence.CutOff, silentMs);
	},
	async 'the leader is lost twice'(fleet) {
		fleet.loseLeader();
		await fleet.time.wait(leaderlessMs);
		fleet.electLeader();
		await fleet.time.wait(secondLossAfterMs);
		fleet.loseLeader();
		await fleet.time.wait(leaderlessMs);
		fleet.electLeader();
	},
};

/** A workspace that has used just less than half of its window sends more once no leader answers. */
const runPeak = async (seed: number, entries: number, tokens: number, failure: Failure): Promise<LimitedWorkspaces> => {
	const fleet = new LimitedWorkspaces({entries, seed});
	const {time} = fleet;
	void fleet.send(hot, Math.max(hotLoad, entries * contactLoadPerEntry), {until: peakAt + peakMs});
	void fleet.send(quiet, halfLoad, {meanCost: tokens});
	await time.advance(peakAt);
	void failure(fleet, entries);
	await time.advance(noticedAfterMs);
	void fleet.send(quiet, peakLoad, {until: time.clock.now() + peakMs, meanCost: tokens});
	await time.advance(cutOffSettledAfterMs);
	void fleet.send(quiet, hotLoad, {meanCost: tokens});
	await time.advance(settledWindows * windowMs);
	fleet.close();
	return fleet;
};

/** The workspace rises to 8 times its usual load shortly before the leader is lost; some entries freeze before the next one is elected. */
const runRise = async (seed: number, entries: number, frozen: number): Promise<LimitedWorkspaces> => {
	const fleet = new LimitedWorkspaces({entries, seed});
	const {time} = fleet;
	void fleet.send(hot, halfLoad, {until: lostAt - riseBeforeMs});
	await time.advance(lostAt - riseBeforeMs);
	void fleet.send(hot, halfLoad * peakLoad);
	await time.advance(riseBeforeMs);
	fleet.loseLeader();
	await time.advance(noticedAfterMs);
	fleet.silence(frozen, Silence.Frozen, riseFrozenMs);
	await time.advance(noticedAfterMs);
	fleet.electLeader();
	await time.advance(settledAfterMs);
	fleet.close();
	return fleet;
};

Given('{int} entries, and a workspace that sends half of its limit', function (this: LeaderChangesWorld, entries: number) {
	this.entryCount = entries;
});

When('it sends 8 times as much, the leader is lost 2 s later, and {int} entries freeze before the next one is elected', {timeout: 120_000}, async function (this: LeaderChangesWorld, frozen: number) {
	this.series = await Promise.all(cutOffSeeds.map(async seed => runRise(seed, this.entryCount, frozen)));
});

Then('the first workspace uses most of its limit in some window', function (this: LeaderChangesWorld) {
	const most = this.series.map(fleet => fleet.findMaxInWindow(hot));
	assert.ok(Math.min(...most) >= 0.9 * computeCapacity(hot), `${most.join(', ')} of ${computeCapacity(hot)}`);
});

Given('{int} entries, and a workspace with requests of about {int} tokens that uses just less than half of its window', function (this: LeaderChangesWorld, entries: number, tokens: number) {
	this.entryCount = entries;
	this.requestTokens = tokens;
});

When('the workspace sends 8 times its limit while {string}', {timeout: 120_000}, async function (this: LeaderChangesWorld, failure: string) {
	this.series = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop
		this.series.push(await runPeak(seed, this.entryCount, this.requestTokens, failures[failure]!));
	}
});

Then('no window of the workspace runs more than the tolerance allows', function (this: LeaderChangesWorld) {
	const most = this.series.map(fleet => fleet.findMaxInWindow(quiet));
	assert.ok(Math.max(...most) <= computeAllowed(quiet), `${most.join(', ')} of ${computeAllowed(quiet)}`);
});

Then('afterwards the workspace uses its limit again', function (this: LeaderChangesWorld) {
	const from = peakAt + noticedAfterMs + cutOffSettledAfterMs;
	const used = this.series.map(fleet => fleet.sumBetween(quiet, from, from + (settledWindows * windowMs)) / settledWindows);
	assert.ok(Math.min(...used) >= 0.8 * computeCapacity(quiet), `${used.join(', ')} of ${computeCapacity(quiet)}`);
});

Given('{int} entries, a workspace that sends 3 times its limit, and one that sends less than half of it', function (this: LeaderChangesWorld, entries: number) {
	this.entryCount = entries;
});

When('the leader is lost while {int} entries are {string}, with and without a second loss', {timeout: 120_000}, async function (this: LeaderChangesWorld, silent: number, how: string) {
	this.silentShare = silent / this.entryCount;
	this.series = [];
	// The series share no state; one after the other keeps the load of the machine low.
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop
		this.series.push(await runSeries(seed, this.entryCount, silent, assumeType<Silence>(how)));
	}
});

When('{int} entries are cut off for {int} s from a leader that serves the others, once and twice', {timeout: 120_000}, async function (this: LeaderChangesWorld, silent: number, seconds: number) {
	this.silentShare = silent / this.entryCount;
	this.series = [];
	for (const seed of cutOffSeeds) {
		// eslint-disable-next-line no-await-in-loop
		this.series.push(await runCutOff(seed, this.entryCount, silent, seconds * 1000));
	}
});

Then('no window of either workspace runs more than the tolerance allows', function (this: LeaderChangesWorld) {
	this.series.forEach((fleet, index) => {
		[hot, quiet].forEach(workspace => {
			const most = fleet.findMaxInWindow(workspace);
			assert.ok(most <= computeAllowed(workspace), `series ${index + 1}: ${most} of ${computeAllowed(workspace)} of the workspace ${workspace.name}`);
		});
	});
});

Then('the entries that aren\'t silent use most of the limit of the first workspace', function (this: LeaderChangesWorld) {
	this.series.forEach((fleet, index) => {
		const used = fleet.sumBetween(hot, lostAt, lostAt + windowMs);
		// The second loss makes as many entries silent again, perhaps others.
		const least = 0.6 * Math.max(0, 1 - (this.silentShare * (index + 1))) * computeCapacity(hot);
		assert.ok(used >= least, `series ${index + 1}: ${used} of ${least}`);
	});
});

Then('once the silent entries\' grants have expired, the first workspace uses its limit again, and the second one is refused nothing', function (this: LeaderChangesWorld) {
	this.series.forEach((fleet, index) => {
		const used = fleet.sumBetween(hot, lostAt + settledAfterMs, endAt) / settledWindows;
		assert.ok(used >= 0.9 * computeCapacity(hot), `series ${index + 1}: ${used} of ${computeCapacity(hot)}`);
		assert.equal(fleet.countRefusals(quiet, lostAt + settledAfterMs, endAt), 0, `series ${index + 1}`);
	});
});

Then('the entries that are not cut off use most of their share of the first workspace', function (this: LeaderChangesWorld) {
	this.series.forEach((fleet, index) => {
		const used = fleet.sumBetween(hot, lostAt, lostAt + windowMs);
		const least = 0.8 * (1 - this.silentShare) * computeCapacity(hot);
		assert.ok(used >= least, `series ${index + 1}: ${used} of ${least}`);
	});
});

Then('the second workspace is refused nothing where a leader is reached', function (this: LeaderChangesWorld) {
	this.series.forEach((fleet, index) => {
		assert.equal(fleet.countConnectedRefusals(quiet), 0, `series ${index + 1}`);
	});
});

Then('afterwards the first workspace uses its limit again, and the second one is refused nothing', function (this: LeaderChangesWorld) {
	this.series.forEach((fleet, index) => {
		const used = fleet.sumBetween(hot, lostAt + cutOffSettledAfterMs, cutOffEndAt) / settledWindows;
		assert.ok(used >= 0.9 * computeCapacity(hot), `series ${index + 1}: ${used} of ${computeCapacity(hot)}`);
		assert.equal(fleet.countRefusals(quiet, lostAt + cutOffSettledAfterMs, cutOffEndAt), 0, `series ${index + 1}`);
	});
});
