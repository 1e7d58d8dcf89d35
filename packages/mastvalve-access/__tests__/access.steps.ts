/**
 * Steps of keys, priorities and limits: the policy by itself, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {createRandom} from 'mastvalve-utils';
import {
	costOf, Evidence, LimitLedger, LimitUnit, rankPriorities, TokenBucket, UsagePace, type LimitTolerance, type Workspace, type WorkspaceLimit,
} from '../src/index.js';

type AccessWorld = World & {evidence: Evidence};

const tolerance: LimitTolerance = {windowMs: 8000, overage: 0.1, slack: 17_000};
const requestTokens = 2400;
const entries = 31;

const limitOf = (ratePerSecond: number, burst = ratePerSecond): WorkspaceLimit => ({
	unit: LimitUnit.Tokens, ratePerSecond, burst, plainTokens: 200,
});

const workspaceOf = (limit: WorkspaceLimit): Workspace => ({
	name: 'w', keyDigests: [], priority: 0, limit,
});

const allowedIn = ({ratePerSecond, burst}: WorkspaceLimit, {windowMs, overage, slack}: LimitTolerance): number =>
	(((ratePerSecond * windowMs / 1000) + burst) * (1 + overage)) + slack;

type Granted = {at: number; cost: number};

/** The most that was granted in any window. */
const mostInWindow = (granted: readonly Granted[], windowMs: number): number =>
	Math.max(0, ...granted.map(({at}) => granted.filter(other => other.at >= at && other.at < at + windowMs).reduce((sum, {cost}) => sum + cost, 0)));

Given('a bound of {int} ms on keys that were taken away', function (this: AccessWorld, boundMs: number) {
	this.evidence = new Evidence(boundMs);
});

Given('no bound on keys that were taken away', function (this: AccessWorld) {
	this.evidence = new Evidence(undefined);
});

When('control was sure {int} ms before the question at {int} ms was answered', function (this: AccessWorld, beforeMs: number, askedAt: number) {
	this.evidence.record(askedAt, -beforeMs);
});

When('the entry was suspended at {int} ms', function (this: AccessWorld, at: number) {
	this.evidence.distrust(at);
});

When('control answers the question of {int} ms', function (this: AccessWorld, askedAt: number) {
	this.evidence.record(askedAt, 0);
});

Then('keys are believed at {int} ms, and not at {int} ms', function (this: AccessWorld, last: number, first: number) {
	assert.equal(this.evidence.isSure(last), true);
	assert.equal(this.evidence.isSure(first), false);
});

Then('keys are believed at {int} ms', function (this: AccessWorld, at: number) {
	assert.equal(this.evidence.isSure(at), true);
});

Then('keys are not believed at {int} ms', function (this: AccessWorld, at: number) {
	assert.equal(this.evidence.isSure(at), false);
});

Then('workspaces of priorities 0, 1 and 2 with routes of priorities 0, 1 and 2 are ranked 0 to 8', () => {
	const rank = rankPriorities({workspaces: [2, 0, 1, 0], routes: [1, 2, 0]});
	assert.deepEqual([0, 1, 2].flatMap(workspace => [0, 1, 2].map(route => rank(workspace, route))), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
});

Then('a workspace without a priority comes last', () => {
	const rank = rankPriorities({workspaces: [0, undefined], routes: [0, 3]});
	assert.deepEqual([rank(0, 3), rank(undefined, 0), rank(undefined, 3)], [1, 2, 3]);
});

Then('without workspaces the route\'s priority stays', () => {
	const rank = rankPriorities({workspaces: [], routes: [0, 2, 7]});
	assert.deepEqual([rank(undefined, 0), rank(undefined, 2), rank(undefined, 7)], [0, 2, 7]);
});

Then('more pairs than steps keep their order', () => {
	const rank = rankPriorities({workspaces: [0, 1, 2, 3, 4], routes: [0, 1, 2, 3]});
	const ranks = [0, 1, 2, 3, 4].flatMap(workspace => [0, 1, 2, 3].map(route => rank(workspace, route)));
	assert.deepEqual(ranks, ranks.toSorted((a, b) => a - b));
	assert.deepEqual([ranks[0], ranks.at(-1)], [0, 9]);
});

Then('a request that declares {word} counts {int} by {word}', (declared: string, cost: number, unit: string) => {
	const [prompt = 0, output = 0] = declared.split(',').map(Number);
	const limit = {...limitOf(1), unit: unit === 'tokens' ? LimitUnit.Tokens : LimitUnit.Requests};
	assert.equal(costOf(limit, declared === 'nothing' ? undefined : {prompt, output}), cost);
});

Then('over {int} runs of bursts and changes of leader no window of 8 s is granted more than the tolerance allows', (runs: number) => {
	Array.from({length: runs}).forEach((_, seed) => {
		const random = createRandom(seed + 1);
		const limit = limitOf(4200 * (1 + Math.floor(random() * 10)));
		const workspace = workspaceOf(limit);
		const ledger = new LimitLedger(tolerance);
		// Demand of 0.3 to 6 times the rate, that changes each second; a new leader knows nothing of what the one before granted.
		const resets = [random() * 30_000, random() * 30_000];
		const granted: Granted[] = [];
		let at = 0;
		while (at < 30_000) {
			const load = 0.3 + (5.7 * ((Math.floor(at / 1000) * 7919 * (seed + 1) % 100) / 100));
			const stepMs = requestTokens / (limit.ratePerSecond * load) * 1000 * 2 * random();
			const before = at;
			const after = before + stepMs;
			if (resets.some(reset => reset >= before && reset < after)) {
				ledger.reset();
			}

			at = after;
			const cost = requestTokens * 2 * random();
			if (ledger.settle(workspace, cost, at) === 0) {
				granted.push({at, cost});
			}
		}

		const most = mostInWindow(granted, tolerance.windowMs);
		assert.ok(most <= allowedIn(limit, tolerance), `seed ${seed + 1}: ${most} of ${allowedIn(limit, tolerance)} at ${limit.ratePerSecond} a second`);
	});
});

Then('a workspace that asks at its rate, in any order of requests, is refused nothing', () => {
	Array.from({length: 50}).forEach((_, seed) => {
		const random = createRandom(seed + 1);
		const limit = limitOf(12_000);
		const bucket = new TokenBucket(limit, tolerance, 0);
		let at = 500;
		while (at < 30_000) {
			const cost = requestTokens * (0.5 + random());
			at += cost / limit.ratePerSecond * 1000 * (0.8 + (0.4 * random()));
			assert.equal(bucket.take(cost, at), 0, `seed ${seed + 1} at ${at}`);
		}
	});
});

Then('a request of {int} tokens passes a bucket of {int} a second, and the next one waits until that is paid', (cost: number, ratePerSecond: number) => {
	const bucket = new TokenBucket(limitOf(ratePerSecond), tolerance, 0);
	assert.equal(bucket.take(cost, 60_000), 0);
	const waitMs = bucket.take(requestTokens, 60_000);
	assert.ok(waitMs > (cost - (2 * ratePerSecond) - tolerance.slack) / ratePerSecond * 1000);
	assert.equal(bucket.take(requestTokens, 60_000 + waitMs), 0);
});

Then('whoever comes back at the time that it was told is served', () => {
	const bucket = new TokenBucket(limitOf(4200), tolerance, 0);
	const costs = Array.from({length: 20}, (_, index) => 500 + (index * 300));
	costs.reduce((at, cost) => {
		const waitMs = bucket.take(cost, at);
		assert.equal(waitMs === 0 || bucket.take(cost, at + waitMs) === 0, true);
		return at + waitMs;
	}, 0);
});

Then('a bucket whose limit falls to a tenth grants no more than the new burst from then on', () => {
	const bucket = new TokenBucket(limitOf(42_000), tolerance, 0);
	bucket.setLimit(limitOf(4200), 10_000);
	const granted = Array.from({length: 100}, () => (bucket.take(requestTokens, 10_000) === 0 ? requestTokens : 0)).reduce<number>((sum, cost) => sum + cost, 0);
	assert.ok(granted <= allowedIn(limitOf(4200), tolerance) - (8 * 4200), `${granted}`);
});

/** Entries that were granted requests by one ledger for 20 s and are alone for 3 s then; what they granted at `load` times the rate. */
const goAlone = (seed: number, limit: WorkspaceLimit, load: number): {granted: Granted[]; askedAlone: number; grantedAlone: number} => {
	const random = createRandom(seed);
	const workspace = workspaceOf(limit);
	const ledger = new LimitLedger(tolerance);
	const paces = Array.from({length: entries}, () => new UsagePace(random));
	const granted: Granted[] = [];
	let [at, askedAlone, grantedAlone] = [0, 0, 0];
	while (at < 23_000) {
		at += requestTokens / (limit.ratePerSecond * load) * 1000 * 2 * random();
		const pace = paces[Math.floor(random() * entries)]!;
		if (at < 20_000) {
			const isGranted = ledger.settle(workspace, requestTokens, at) === 0;
			if (isGranted) {
				pace.recordGrant('w', requestTokens, at);
				granted.push({at, cost: requestTokens});
			} else {
				pace.recordRefusal('w', at);
			}
		} else {
			askedAlone += 1;
			if (pace.takeAlone('w', requestTokens, at)) {
				grantedAlone += 1;
				granted.push({at, cost: requestTokens});
			}
		}
	}

	return {granted, askedAlone, grantedAlone};
};

Then('over {int} runs {int} entries that are alone for 3 s grant no more than the tolerance allows', (runs: number, count: number) => {
	assert.equal(count, entries);
	Array.from({length: runs}).forEach((_, seed) => {
		const limit = limitOf([4200, 28_000, 138_000][seed % 3]!);
		const most = mostInWindow(goAlone(seed + 1, limit, 3).granted, tolerance.windowMs);
		assert.ok(most <= allowedIn(limit, tolerance), `seed ${seed + 1}: ${most} of ${allowedIn(limit, tolerance)} at ${limit.ratePerSecond} a second`);
	});
});

Then('a workspace that asks as it did before is served at least half of what it asks', () => {
	const runs = Array.from({length: 30}, (_, seed) => goAlone(seed + 1, limitOf(28_000), 0.55));
	const asked = runs.reduce((sum, {askedAlone}) => sum + askedAlone, 0);
	const served = runs.reduce((sum, {grantedAlone}) => sum + grantedAlone, 0);
	assert.ok(served >= asked / 2, `${served} of ${asked}`);
});
