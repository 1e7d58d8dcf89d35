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
	entries: EntriesAndControl;
	engines: CrashingEngines;
	deadly: CallResult[];
	others: CallResult[];
};

const refusedStatus = 503;
const okStatus = 200;
const deadlyBody = `summarise this ${deadlyText} annex`;

After(async function (this: CrashWorld) {
	this.engines?.close();
	await this.entries?.close();
});

Given('{int} entries that follow control', async function (this: CrashWorld, count: number) {
	this.entries = await EntriesAndControl.open(count);
	this.deadly = [];
	this.others = [];
});

Given('{int} engines that end when they begin a deadly request, and are back {int} ms later', async function (this: CrashWorld, count: number, backAfterMs: number) {
	this.engines = new CrashingEngines(this.entries.lone.control, backAfterMs);
	await this.engines.start(count);
	await this.entries.waitForEndpoints(count);
});

/** Sends one deadly request, and another one beside it, to one entry. */
const sendPair = async ({entries, deadly, others}: CrashWorld, number: number): Promise<void> => {
	const [first, second] = await Promise.all([
		entries.call(number % entries.count, '/stream/x', deadlyBody),
		entries.call(number % entries.count, '/stream/x', `question ${number}`),
	]);
	deadly.push(first);
	others.push(second);
};

When('the same deadly request comes {int} times, {int} ms apart, at one entry after the other, beside other requests', async function (this: CrashWorld, count: number, pauseMs: number) {
	const sent = Array.from({length: count}, async (_, number) => {
		await waitFor(number * pauseMs);
		await sendPair(this, number);
	});
	await Promise.all(sent);
});

Then('at most {int} engines have ended', function (this: CrashWorld, limit: number) {
	this.attach(`${this.engines.ended} engines ended, ${this.engines.deadlyTaken} took the request`);
	assert.ok(this.engines.ended <= limit, `${this.engines.ended} engines ended, ${this.engines.deadlyTaken} took the request`);
});

Then('the last {int} deadly requests were refused as not run within {int} ms each', function (this: CrashWorld, count: number, limitMs: number) {
	const last = this.deadly.slice(-count);
	assert.deepEqual(last.map(({status}) => status), Array.from({length: count}, () => refusedStatus));
	assert.ok(last.every(({tookMs}) => tookMs <= limitMs), JSON.stringify(last));
});

Then('the last {int} of the other requests were answered', function (this: CrashWorld, count: number) {
	assert.deepEqual(this.others.slice(-count).map(({status}) => status), Array.from({length: count}, () => okStatus));
});
