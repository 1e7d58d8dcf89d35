/**
 * Steps of requests under which endpoints end.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import {CrashingEngines, deadlyText} from './__fixtures__/crashing-engines.js';
import {EntriesAndControl, type CallResult} from './__fixtures__/entries-and-control.js';

type CrashWorld = World & {
	following: EntriesAndControl;
	crashingEngines: CrashingEngines;
	deadly: CallResult[];
	others: CallResult[];
};

const refusedStatus = 503;
const okStatus = 200;
/** Time between two crashes from outside, and for what follows from one, ms. */
const crashPauseMs = 200;
const settleMs = 300;
/** A request has reached an engine by then, and is not answered yet, ms. */
const underWayMs = 30;
const deadlyBody = `summarise this ${deadlyText} annex`;

After(async function (this: CrashWorld) {
	this.crashingEngines?.close();
	await this.following?.close();
});

Given('{int} entry/entries that follow(s) control', async function (this: CrashWorld, count: number) {
	this.following = await EntriesAndControl.open(count);
	this.deadly = [];
	this.others = [];
});

Given('{int} engines that end when they begin a deadly request, and are back {int} ms later', async function (this: CrashWorld, count: number, backAfterMs: number) {
	this.crashingEngines = new CrashingEngines(this.following.single.control, backAfterMs);
	await this.crashingEngines.start(count);
	await this.following.waitForEndpoints(count);
});

/** Sends one deadly request, and another one beside it, to one entry. */
const sendPair = async ({following, deadly, others}: CrashWorld, number: number): Promise<void> => {
	const [first, second] = await Promise.all([
		following.call(number % following.count, '/stream/x', deadlyBody),
		following.call(number % following.count, '/stream/x', `question ${number}`),
	]);
	deadly.push(first);
	others.push(second);
};

/** Repeats something a number of times, one after the other, with a pause behind each. */
const repeat = async (count: number, pauseMs: number, body: (number: number) => Promise<void>): Promise<void> => {
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, number) => {
		await before;
		await body(number);
		await waitFor(pauseMs);
	}, Promise.resolve());
};

const sendDeadly = async (world: CrashWorld, count: number, pauseMs: number): Promise<void> => {
	await Promise.all(Array.from({length: count}, async (_, number) => {
		await waitFor(number * pauseMs);
		await sendPair(world, number);
	}));
};

/** Sends a request that ends nothing, and does something to the engines while it is under way. */
const callWhile = async ({following}: CrashWorld, number: number, act: () => Promise<void>): Promise<void> => {
	const call = following.call(number % following.count, '/unsafe/x', 'the same question');
	await waitFor(underWayMs);
	await act();
	await call;
};

When('the same deadly request comes {int} times, {int} ms apart, at one entry after the other, beside other requests', async function (this: CrashWorld, count: number, pauseMs: number) {
	await sendDeadly(this, count, pauseMs);
});

Then('at most {int} engines have ended', function (this: CrashWorld, limit: number) {
	this.attach(`${this.crashingEngines.ended} engines ended, ${this.crashingEngines.deadlyTaken} took the request`);
	assert.ok(this.crashingEngines.ended <= limit, `${this.crashingEngines.ended} engines ended, ${this.crashingEngines.deadlyTaken} took the request`);
});

Then('the last {int} deadly requests were refused as not run within {int} ms each', function (this: CrashWorld, count: number, limitMs: number) {
	const last = this.deadly.slice(-count);
	assert.deepEqual(last.map(({status}) => status), Array.from({length: count}, () => refusedStatus));
	assert.ok(last.every(({tookMs}) => tookMs <= limitMs), JSON.stringify(last));
});

Then('the last {int} of the other requests were answered', function (this: CrashWorld, count: number) {
	assert.deepEqual(this.others.slice(-count).map(({status}) => status), Array.from({length: count}, () => okStatus));
});

When('the same deadly request, which may not be repeated, comes once at each entry, {int} ms apart', async function (this: CrashWorld, pauseMs: number) {
	await repeat(this.following.count, pauseMs, async number => {
		await this.following.call(number, '/unsafe/x', deadlyBody);
	});
});

When('the entries are restarted', async function (this: CrashWorld) {
	await Promise.all(Array.from({length: this.following.count}, async (_, index) => this.following.restart(index)));
});

When('a deadly request comes once more at each entry', async function (this: CrashWorld) {
	const results = await Promise.all(Array.from({length: this.following.count}, async (_, index) => this.following.call(index, '/stream/x', deadlyBody)));
	this.deadly.push(...results);
});

When('the same harmless call comes every {int} ms at one entry after the other, while engines crash {int} times for another reason', async function (this: CrashWorld, pauseMs: number, crashes: number) {
	const ending = new AbortController();
	const calls: Array<Promise<void>> = [];
	const calling = (async () => {
		while (!ending.signal.aborted) {
			calls.push(this.following.call(calls.length % this.following.count, '/safe/stock', '').then(result => {
				this.others.push(result);
			}));
			// eslint-disable-next-line no-await-in-loop
			await waitFor(pauseMs);
		}
	})();
	await waitFor(crashPauseMs);
	await repeat(crashes, crashPauseMs, async number => {
		this.crashingEngines.crash(number % this.crashingEngines.count);
	});
	await waitFor(crashPauseMs * 2);
	ending.abort();
	await calling;
	await Promise.all(calls);
});

When('the same request comes {int} times, and the connections of all engines are reset under it each time', async function (this: CrashWorld, count: number) {
	await repeat(count, crashPauseMs, async number => callWhile(this, number, async () => {
		this.crashingEngines.resetAll();
	}));
});

When('the same request comes {int} times, and each time the engines say that they leave and end', async function (this: CrashWorld, count: number) {
	await repeat(count, crashPauseMs * 3, async number => callWhile(this, number, async () => this.crashingEngines.leaveAll()));
});

Then('the last {int} harmless calls were answered', function (this: CrashWorld, count: number) {
	assert.deepEqual(this.others.slice(-count).map(({status}) => status), Array.from({length: count}, () => okStatus));
});

Then('control has quarantined {int} request(s)', async function (this: CrashWorld, count: number) {
	await waitFor(settleMs);
	assert.equal(this.following.single.control.machine.listQuarantined().length, count);
});
