/**
 * Steps for requests that crash endpoints.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import {CrashingEngines, crashingText} from './__fixtures__/crashing-engines.js';
import type {CrashWorld} from './__fixtures__/crash-world.js';
import {EntriesAndControl} from './__fixtures__/entries-and-control.js';
import {withEventLoopDelay} from './__fixtures__/event-loop-delay.js';

type RequestWorld = CrashWorld & {
	/** Crashing requests that engines had accepted, and lines that entries had logged, before those that follow the restart. */
	acceptedAtRestart: number;
	loggedAtRestart: number;
	/** Longest delay of the event loop while the last crashing requests were answered, ms. */
	loopDelayMs: number;
};

const refusedStatus = 503;
const okStatus = 200;
/** Time between two external crashes, in which entries and control process one, ms. */
const crashPauseMs = 200;
const settleMs = 300;
/** Time after which a request has reached an engine and is not answered yet, ms. */
const inFlightMs = 30;
const crashingBody = `summarise this ${crashingText} annex`;

After(async function (this: CrashWorld) {
	this.crashingEngines?.close();
	await this.following?.close();
});

Given('{int} entry/entries that follow(s) control', async function (this: CrashWorld, count: number) {
	this.following = await EntriesAndControl.open(count);
	this.crashing = [];
	this.others = [];
});

Given('{int} engines that crash when they run a crashing request, and restart after {int} ms', async function (this: CrashWorld, count: number, restartAfterMs: number) {
	this.crashingEngines = new CrashingEngines(this.following.single.control, restartAfterMs);
	await this.crashingEngines.start(count);
	await this.following.waitForEndpoints(count);
});

/** Sends one crashing request and one other request to an entry, concurrently. */
const sendPair = async ({following, crashing, others}: CrashWorld, number: number): Promise<void> => {
	const [first, second] = await Promise.all([
		following.call(number % following.count, '/stream/x', crashingBody),
		following.call(number % following.count, '/stream/x', `question ${number}`),
	]);
	crashing.push(first);
	others.push(second);
};

/** Runs a body repeatedly and sequentially, with a pause after each run. */
const repeat = async (count: number, pauseMs: number, body: (number: number) => Promise<void>): Promise<void> => {
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, number) => {
		await before;
		await body(number);
		await waitFor(pauseMs);
	}, Promise.resolve());
};

const sendCrashing = async (world: CrashWorld, count: number, pauseMs: number): Promise<void> => {
	await Promise.all(Array.from({length: count}, async (_, number) => {
		await waitFor(number * pauseMs);
		await sendPair(world, number);
	}));
};

/** Sends a harmless request, and runs an action while it is in flight. */
const callWhile = async ({following}: CrashWorld, number: number, act: () => Promise<void>): Promise<void> => {
	const call = following.call(number % following.count, '/unsafe/x', 'the same question');
	await waitFor(inFlightMs);
	await act();
	await call;
};

When('the same crashing request arrives {int} times, {int} ms apart, round-robin over the entries, together with other requests', async function (this: CrashWorld, count: number, pauseMs: number) {
	await sendCrashing(this, count, pauseMs);
});

Then('at most {int} engines have crashed', function (this: CrashWorld, limit: number) {
	this.attach(`${this.crashingEngines.crashed} engines crashed, ${this.crashingEngines.crashingAccepted} accepted the request`);
	assert.ok(this.crashingEngines.crashed <= limit, `${this.crashingEngines.crashed} engines crashed, ${this.crashingEngines.crashingAccepted} accepted the request`);
});

Then('the last {int} crashing requests are each refused as not run within {int} ms', function (this: CrashWorld, count: number, limitMs: number) {
	const last = this.crashing.slice(-count);
	assert.deepEqual(last.map(({status}) => status), Array.from({length: count}, () => refusedStatus));
	assert.ok(last.every(({tookMs}) => tookMs <= limitMs), JSON.stringify(last));
});

Then('the last {int} of the other requests succeed', function (this: CrashWorld, count: number) {
	assert.deepEqual(this.others.slice(-count).map(({status}) => status), Array.from({length: count}, () => okStatus));
});

When('the same crashing request, which must not be repeated, arrives once at each entry, {int} ms apart', async function (this: CrashWorld, pauseMs: number) {
	await repeat(this.following.count, pauseMs, async number => {
		await this.following.call(number, '/unsafe/x', crashingBody);
	});
});

When('the entries are restarted', async function (this: CrashWorld) {
	await Promise.all(Array.from({length: this.following.count}, async (_, index) => this.following.restart(index)));
});

When('a crashing request arrives once more at each entry', async function (this: RequestWorld) {
	this.acceptedAtRestart = this.crashingEngines.crashingAccepted;
	this.loggedAtRestart = this.following.logged.length;
	const {result, delayMs} = await withEventLoopDelay(async () =>
		Promise.all(Array.from({length: this.following.count}, async (_, index) => this.following.call(index, '/stream/x', crashingBody))));
	this.crashing.push(...result);
	this.loopDelayMs = delayMs;
});

Then('the last {int} crashing requests are each refused as quarantined within {int} ms plus loop delay', function (this: RequestWorld, count: number, limitMs: number) {
	const last = this.crashing.slice(-count);
	const lines = this.following.logged.slice(this.loggedAtRestart).filter(({kind}) => kind === 'request.given-up');
	const text = `${JSON.stringify(last)}, event loop delayed by ${Math.round(this.loopDelayMs)} ms, ${JSON.stringify(lines)}`;
	this.attach(text);
	assert.deepEqual(last.map(({status}) => status), Array.from({length: count}, () => refusedStatus));
	assert.equal(lines.filter(({fields}) => String(fields.reason).startsWith('quarantined') && Number(fields.ageMs) <= limitMs + this.loopDelayMs).length, count, text);
	assert.ok(last.every(({tookMs}) => tookMs <= limitMs + this.loopDelayMs), text);
});

Then('no engine has received a crashing request since the restart', function (this: RequestWorld) {
	assert.equal(this.crashingEngines.crashingAccepted, this.acceptedAtRestart);
});

When('the same harmless request arrives every {int} ms, round-robin over the entries, while engines crash {int} times for another reason', async function (this: CrashWorld, pauseMs: number, crashes: number) {
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

When('the same request arrives {int} times, and the connections of all engines are reset while it runs', async function (this: CrashWorld, count: number) {
	await repeat(count, crashPauseMs, async number => callWhile(this, number, async () => {
		this.crashingEngines.resetAll();
	}));
});

When('the same request arrives {int} times, and each time the engines report that they are leaving and end', async function (this: CrashWorld, count: number) {
	await repeat(count, crashPauseMs * 3, async number => callWhile(this, number, async () => this.crashingEngines.leaveAll()));
});

Then('the last {int} harmless requests succeed', function (this: CrashWorld, count: number) {
	assert.deepEqual(this.others.slice(-count).map(({status}) => status), Array.from({length: count}, () => okStatus));
});

Then('control has quarantined {int} request(s)', async function (this: CrashWorld, count: number) {
	await waitFor(settleMs);
	assert.equal(this.following.single.control.machine.listQuarantined().length, count);
});
