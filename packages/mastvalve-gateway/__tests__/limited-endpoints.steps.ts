/**
 * Steps of endpoints that name limits.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import type {CallResult, EntriesAndControl} from './__fixtures__/entries-and-control.js';
import {LimitedEndpoints} from './__fixtures__/limited-endpoints.js';

type LimitWorld = World & {
	following: EntriesAndControl;
	limited: LimitedEndpoints;
	results: CallResult[];
};

const okStatus = 200;
/** Lines that a failed scenario shows. */
const shownLines = 5;

After(function (this: LimitWorld) {
	this.limited?.close();
});

Given('{int} endpoints that count what they get', async function (this: LimitWorld, count: number) {
	this.results = [];
	this.limited = new LimitedEndpoints(this.following.lone.control);
	await this.limited.start(count);
	await this.following.waitForEndpoints(count);
});

When('endpoint {int} names a limit of {string} a second', function (this: LimitWorld, index: number, word: string) {
	this.limited.name(index, word);
});

When('{int} requests come within {int} ms, at one entry after the other', async function (this: LimitWorld, count: number, spanMs: number) {
	const calls = Array.from({length: count}, async (_, number) => {
		await waitFor(number * spanMs / count);
		this.results.push(await this.following.call(number % this.following.count, '/safe/x', ''));
	});
	await Promise.all(calls);
});

Then('endpoint {int} got at most {int} requests in any {int} ms from {int} ms after it had named its limit', function (this: LimitWorld, index: number, limit: number, spanMs: number, afterMs: number) {
	const most = this.limited.countMost(index, spanMs, afterMs);
	this.attach(`${most} requests in ${spanMs} ms; ${this.limited.countSince(index)} in all`);
	this.following.logged.filter(({kind}) => kind === 'endpoint.limit-told').slice(0, shownLines).forEach(line => {
		this.attach(JSON.stringify(line));
	});
	assert.ok(most <= limit, `${most} requests in ${spanMs} ms`);
});

Then('all requests were answered', function (this: LimitWorld) {
	const others = this.results.filter(({status}) => status !== okStatus);
	assert.deepEqual(others, []);
});
