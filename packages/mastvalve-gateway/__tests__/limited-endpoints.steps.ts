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
const refusedStatus = 503;
const msPerSecond = 1000;
/** What is left of a request's 2 s when the answer must begin, ms. */
const patienceMs = 1700;
/** Lines that a failed scenario shows. */
const shownLines = 5;

After(function (this: LimitWorld) {
	this.limited?.close();
});

Given('{int} endpoints that count what they get', async function (this: LimitWorld, count: number) {
	this.results = [];
	this.limited = new LimitedEndpoints(this.following.single.control);
	await this.limited.start(count);
	await this.following.waitForEndpoints(count);
});

When('endpoint {int} names a limit of {string} a second', function (this: LimitWorld, index: number, word: string) {
	this.limited.name(index, word);
});

When('all endpoints name a limit of {string} a second', function (this: LimitWorld, word: string) {
	this.limited.indexes.forEach(index => {
		this.limited.name(index, word);
	});
});

Then('each endpoint got at least {float} of its limit from {int} ms to {int} ms after it had named it', function (this: LimitWorld, share: number, fromMs: number, untilMs: number) {
	const used = this.limited.indexes.map(index => (this.limited.countSince(index, fromMs) - this.limited.countSince(index, untilMs)) / this.limited.limitOf(index) / (untilMs - fromMs) * msPerSecond);
	const text = used.map(each => each.toFixed(2)).join(', ');
	this.attach(`used ${text}; ${this.limited.indexes.map(index => this.limited.describe(index)).join(' | ')}`);
	assert.ok(Math.min(...used) >= share, `used ${text}`);
});

Then('no endpoint got more in {int} ms than its limit allows', function (this: LimitWorld, spanMs: number) {
	this.limited.indexes.forEach(index => {
		const allowed = (1.5 * this.limited.limitOf(index) * spanMs / msPerSecond) + 5;
		const most = this.limited.countMost(index, spanMs, 1000);
		assert.ok(most <= allowed, `endpoint ${index} got ${most} requests, ${allowed} are allowed`);
	});
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

When('endpoint {int} answers with {string}', function (this: LimitWorld, index: number, status: string) {
	this.limited.answerWith(index, status);
});

Then('endpoint {int} got at least {int} requests from {int} ms after it had named its limit', function (this: LimitWorld, index: number, least: number, afterMs: number) {
	const got = this.limited.countSince(index, afterMs);
	assert.ok(got >= least, `${got} requests`);
});

Then('each refused request was told to come again later than it could have waited', function (this: LimitWorld) {
	const refused = this.results.filter(({status}) => status === refusedStatus);
	assert.ok(refused.length > 0);
	assert.deepEqual(this.results.filter(({status}) => status !== okStatus && status !== refusedStatus), []);
	const early = refused.filter(({retryAfter, tookMs}) => ((retryAfter ?? 0) * msPerSecond) + tookMs < patienceMs);
	assert.deepEqual(early, []);
});

Then('all requests were answered', function (this: LimitWorld) {
	const others = this.results.filter(({status}) => status !== okStatus);
	assert.deepEqual(others, []);
});
