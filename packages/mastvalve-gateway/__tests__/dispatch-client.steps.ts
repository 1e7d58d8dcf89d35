/**
 * Steps for claims of engines whose leader fails.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {RunEventKind, type DispatchClaim, type DispatchDecision} from 'mastvalve-dispatch';
import {systemClock, waitFor} from 'mastvalve-utils';
import {createClaim} from '../../mastvalve-dispatch/__tests__/__fixtures__/workloads.js';
import {DispatchClient} from '../src/index.js';
import {
	assignTo, decideAll, queue, ScriptedLeader, type LeaderScript,
} from './__fixtures__/scripted-leader.js';

type DispatchWorld = World & {
	scriptedLeader: ScriptedLeader;
	dispatch: DispatchClient;
	leaving: AbortController;
	startedAt: number;
	claimed: Array<Promise<DispatchDecision | undefined>>;
};

const settleMs = 300;
/** Longer than the interval of calls while runs are in progress, ms. */
const longestCallIntervalMs = 1200;
const createTestClaim = (id: string): DispatchClaim => createClaim({id, model: 'm'});

const start = (world: DispatchWorld, script: LeaderScript): void => {
	world.scriptedLeader = new ScriptedLeader(script);
	world.dispatch = new DispatchClient(world.scriptedLeader.options);
	world.leaving = new AbortController();
};

const assignAll = (endpoint: string): LeaderScript => request => decideAll(request, assignTo(endpoint));

After(function (this: Partial<DispatchWorld>) {
	this.scriptedLeader?.ending.abort();
});

Given('a leader that assigns each claim to e0', function (this: DispatchWorld) {
	start(this, assignAll('e0'));
});

Given('a leader that is silent', function (this: DispatchWorld) {
	start(this, () => undefined);
});

Given('a leader that queues all claims', function (this: DispatchWorld) {
	start(this, request => decideAll(request, queue));
});

Given('a leader that closes the connection of each odd call', function (this: DispatchWorld) {
	start(this, (request, number) => (number % 2 === 1 ? 'closed' : decideAll(request, assignTo('e0'))));
});

When('{int} claims are made', async function (this: DispatchWorld, count: number) {
	this.startedAt = systemClock.now();
	this.claimed = Array.from({length: count}, async (_, index) => this.dispatch.claim(createTestClaim(`c${index}`), this.leaving.signal));
	await waitFor(10);
});

When('another leader is elected, which asks for the runs and assigns each claim to e1', function (this: DispatchWorld) {
	this.scriptedLeader.script = request => (request.isWhole ? decideAll(request, assignTo('e1')) : {decisions: [], needsRunning: true});
});

When('the caller leaves', function (this: DispatchWorld) {
	this.leaving.abort();
});

When('a run ends while a call of 60 ms is in flight', async function (this: DispatchWorld) {
	await this.dispatch.claim(createTestClaim('c0'), this.leaving.signal);
	const run = this.dispatch.beginRun(createTestClaim('c0'), 'e0', true);
	this.scriptedLeader.script = async request => {
		await waitFor(60);
		return decideAll(request, assignTo('e0'));
	};

	void this.dispatch.claim(createTestClaim('c1'), this.leaving.signal);
	await waitFor(5);
	run.end(RunEventKind.Completed);
});

When('a run begins and the leader answers again', async function (this: DispatchWorld) {
	this.dispatch.beginRun(createTestClaim('begun'), 'e0', false);
	this.scriptedLeader.script = assignAll('e0');
	await waitFor(settleMs);
});

When('a run begins and another ends during the probe that regains the leader', async function (this: DispatchWorld) {
	await Promise.all(this.claimed);
	const ended = this.dispatch.beginRun(createTestClaim('c0'), 'e0', false);
	// The probe in flight doesn't carry the run.
	await waitFor(20);
	const isProbed = new Promise<void>(resolve => {
		this.scriptedLeader.script = async request => {
			resolve();
			await waitFor(20);
			return decideAll(request, assignTo('e0'));
		};
	});
	await isProbed;
	this.dispatch.beginRun(createTestClaim('begun'), 'e0', false);
	ended.end(RunEventKind.Completed);
});

When('a run is in progress and the entry stops', async function (this: DispatchWorld) {
	this.dispatch.beginRun(createTestClaim('begun'), 'e0', false);
	await waitFor(settleMs);
	this.scriptedLeader.ending.abort();
});

Then('the leader is called no more', async function (this: DispatchWorld) {
	const before = this.scriptedLeader.requests.length;
	assert.ok(before > 0);
	await waitFor(longestCallIntervalMs);
	assert.equal(this.scriptedLeader.requests.length, before);
});

Then('all claims are assigned to {word}', async function (this: DispatchWorld, endpoint: string) {
	const decisions = await Promise.race([Promise.all(this.claimed), waitFor(settleMs).then(() => 'undecided')]);
	assert.deepEqual(decisions, this.claimed.map((_, index) => assignTo(endpoint)({id: `c${index}`})));
	assert.deepEqual(this.scriptedLeader.released, []);
	assert.deepEqual(this.scriptedLeader.events, []);
});

Then('all are left to the entry within {int} to {int} ms', async function (this: DispatchWorld, fromMs: number, toMs: number) {
	const decisions = await Promise.all(this.claimed);
	assert.deepEqual(decisions, this.claimed.map(() => undefined));
	const tookMs = systemClock.now() - this.startedAt;
	assert.ok(tookMs >= fromMs && tookMs <= toMs, `${tookMs}`);
});

Then('a later claim is left to the entry at once', async function (this: DispatchWorld) {
	const at = systemClock.now();
	assert.equal(await this.dispatch.claim(createTestClaim('later'), this.leaving.signal), undefined);
	assert.ok(systemClock.now() - at < 10);
});

Then('the leader is asked again about each 250 ms', async function (this: DispatchWorld) {
	const before = this.scriptedLeader.requests.length;
	await waitFor(1000);
	const probes = this.scriptedLeader.requests.length - before;
	assert.ok(probes >= 3 && probes <= 5, `${probes}`);
});

Then('the leader is told of the (first )run', async function (this: DispatchWorld) {
	await waitFor(settleMs);
	const told = this.scriptedLeader.requests.flatMap(({running}) => running.map(({claim}) => claim.id));
	assert.ok(told.includes('begun'), told.join(', '));
	assert.deepEqual(this.scriptedLeader.events, ['dispatch.disconnected', 'dispatch.regained']);
});

Then('the leader has heard of the end within 150 ms', async function (this: DispatchWorld) {
	await waitFor(150);
	assert.ok(this.scriptedLeader.requests.some(({events}) => events.some(({id, kind}) => id === 'c0' && kind === RunEventKind.Completed)));
});

Then('the claim is released', async function (this: DispatchWorld) {
	await waitFor(50);
	assert.deepEqual(this.scriptedLeader.released, ['c0']);
});
