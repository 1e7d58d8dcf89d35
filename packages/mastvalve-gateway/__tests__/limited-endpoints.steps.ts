/**
 * Steps for the limits that endpoints report.
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
/** Time within which the answer to a request with a timeout of 2 s must begin, ms. */
const patienceMs = 1700;
/** Maximum number of log lines attached to the report. */
const shownLines = 5;

After(function (this: LimitWorld) {
	this.limited?.close();
});

Given('{int} recording endpoint(s)', async function (this: LimitWorld, count: number) {
	this.results = [];
	this.limited = new LimitedEndpoints(this.following.single.control);
	await this.limited.start(count);
	await this.following.waitForEndpoints(count);
});

When('endpoint {int} reports a limit of {string} per second', function (this: LimitWorld, index: number, limitHeader: string) {
	this.limited.setLimitHeader(index, limitHeader);
});

When('all endpoints report a limit of {string} per second', function (this: LimitWorld, limitHeader: string) {
	this.limited.indexes.forEach(index => {
		this.limited.setLimitHeader(index, limitHeader);
	});
});

Then('each endpoint receives at least {float} of its limit from {int} ms to {int} ms after reporting it', function (this: LimitWorld, share: number, fromMs: number, untilMs: number) {
	const used = this.limited.indexes.map(index => {
		const count = this.limited.countSince(index, fromMs) - this.limited.countSince(index, untilMs);
		return count / this.limited.getLimit(index) / (untilMs - fromMs) * msPerSecond;
	});
	const text = used.map(each => each.toFixed(2)).join(', ');
	this.attach(`used ${text}; ${this.limited.indexes.map(index => this.limited.formatArrivals(index)).join(' | ')}`);
	assert.ok(Math.min(...used) >= share, `used ${text}`);
});

Then('no endpoint receives more in {int} ms than its limit allows', function (this: LimitWorld, spanMs: number) {
	this.limited.indexes.forEach(index => {
		const allowed = (1.5 * this.limited.getLimit(index) * spanMs / msPerSecond) + 5;
		const most = this.limited.countMaxWithin(index, spanMs, 1000);
		assert.ok(most <= allowed, `endpoint ${index} received ${most} requests, ${allowed} are allowed`);
	});
});

When('{int} request(s) arrives/arrive within {int} ms, round-robin over the entries', async function (this: LimitWorld, count: number, spanMs: number) {
	const calls = Array.from({length: count}, async (_, number) => {
		await waitFor(number * spanMs / count);
		this.results.push(await this.following.call(number % this.following.count, '/safe/x', ''));
	});
	await Promise.all(calls);
});

Then('endpoint {int} receives at most {int} requests in any {int} ms, starting {int} ms after it reported its limit', function (this: LimitWorld, index: number, limit: number, spanMs: number, afterMs: number) {
	const most = this.limited.countMaxWithin(index, spanMs, afterMs);
	this.attach(`${most} requests in ${spanMs} ms; ${this.limited.countSince(index)} in total`);
	this.following.logged.filter(({kind}) => kind === 'endpoint.limit-told').slice(0, shownLines).forEach(line => {
		this.attach(JSON.stringify(line));
	});
	assert.ok(most <= limit, `${most} requests in ${spanMs} ms`);
});

When('endpoint {int} stops reporting a limit', function (this: LimitWorld, index: number) {
	this.limited.setLimitHeader(index, undefined);
});

When('endpoint {int} answers with {string}', function (this: LimitWorld, index: number, status: string) {
	this.limited.setStatus(index, status);
});

Then('endpoint {int} receives at least {int} requests, starting {int} ms after it reported its limit', function (this: LimitWorld, index: number, least: number, afterMs: number) {
	const count = this.limited.countSince(index, afterMs);
	assert.ok(count >= least, `${count} requests`);
});

Then('the Retry-After of each refused request exceeds its remaining time', function (this: LimitWorld) {
	const refused = this.results.filter(({status}) => status === refusedStatus);
	assert.ok(refused.length > 0);
	assert.deepEqual(this.results.filter(({status}) => status !== okStatus && status !== refusedStatus), []);
	const early = refused.filter(({retryAfter, tookMs}) => ((retryAfter ?? 0) * msPerSecond) + tookMs < patienceMs);
	assert.deepEqual(early, []);
});

Then('all requests succeed', function (this: LimitWorld) {
	const others = this.results.filter(({status}) => status !== okStatus);
	assert.deepEqual(others, []);
});
