/**
 * Steps for endpoints that refuse excess requests.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	AdmissionKind, EndpointBackoff, parseRetryAfter, RetryAfterKind, type RetryAfter,
} from '../src/index.js';
import {OverloadedEndpoint, ImmediateRetry} from './__fixtures__/overloaded-endpoint.js';

type OverloadWorld = World & {
	entryCount: number;
	overloaded: OverloadedEndpoint;
	retrying: OverloadedEndpoint;
	backoff: EndpointBackoff;
	asked: RetryAfter;
};

const msPerSecond = 1000;

Given('{int} entries that share an endpoint with 8 slots, in virtual time', function (this: OverloadWorld, count: number) {
	this.entryCount = count;
});

When('{float} times its throughput is offered for {int} s', async function (this: OverloadWorld, factor: number, seconds: number) {
	this.overloaded = new OverloadedEndpoint(this.entryCount, () => new EndpointBackoff());
	this.retrying = new OverloadedEndpoint(this.entryCount, () => new ImmediateRetry());
	await this.overloaded.load(factor, seconds * msPerSecond);
	await this.retrying.load(factor, seconds * msPerSecond);
});

When('it refuses everything from {int} s to {int} s, and {float} times its throughput is offered for {int} s', async function (this: OverloadWorld, from: number, to: number, factor: number, seconds: number) {
	this.overloaded = new OverloadedEndpoint(this.entryCount, () => new EndpointBackoff(), {from, to});
	await this.overloaded.load(factor, seconds * msPerSecond);
});

Then('no request arrives during the backoff of its entry', function (this: OverloadWorld) {
	assert.ok(this.overloaded.refusals.length > 0);
	assert.equal(this.overloaded.violations, 0);
});

Then('at least {float} times as many requests are served as with entries that retry all requests at once', function (this: OverloadWorld, factor: number) {
	const served = this.overloaded.accepted.length;
	const others = this.retrying.accepted.length;
	this.attach(`${served} and ${others} served of ${this.overloaded.arrived.length}`);
	assert.ok(served >= factor * others, `${served} and ${others} served of ${this.overloaded.arrived.length}`);
});

Then('the most refusals within any 100 ms after {int} s are {int}', function (this: OverloadWorld, from: number, most: number) {
	const late = this.overloaded.refusals.filter(at => at >= from * msPerSecond);
	const counts = late.map(start => late.filter(at => at >= start && at < start + 100).length);
	assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} refusals within 100 ms`);
});

Then('at least {float} of the requests of the last {int} s are served', function (this: OverloadWorld, share: number, seconds: number) {
	const from = this.overloaded.time.clock.now() - (seconds * msPerSecond);
	const arrivedCount = this.overloaded.arrived.filter(at => at >= from).length;
	const acceptedCount = this.overloaded.accepted.filter(at => at >= from).length;
	assert.ok(acceptedCount >= share * arrivedCount, `${acceptedCount} of ${arrivedCount}`);
});

Given('an endpoint that requested {int} ms of backoff at {int} ms', function (this: OverloadWorld, delayMs: number, at: number) {
	this.backoff = new EndpointBackoff();
	this.backoff.recordRefusal(at, delayMs, 0);
});

When('it requests {int} ms of backoff at {int} ms', function (this: OverloadWorld, delayMs: number, at: number) {
	this.backoff.recordRefusal(at, delayMs, 0);
});

Then('no request may be sent at {int} ms', function (this: OverloadWorld, at: number) {
	assert.equal(this.backoff.checkAdmission(at).kind, AdmissionKind.At);
});

Then('a request may be sent at {int} ms', function (this: OverloadWorld, at: number) {
	assert.equal(this.backoff.checkAdmission(at).kind, AdmissionKind.Now);
});

When('a response with Date {string} has Retry-After {string}', function (this: OverloadWorld, answeredAt: string, values: string) {
	this.asked = parseRetryAfter(values.split('|').map(value => value.trim()), answeredAt);
});

Then('it requests {string}', function (this: OverloadWorld, meaning: string) {
	const {asked} = this;
	assert.equal(asked.kind === RetryAfterKind.Delay ? `${asked.delayMs} ms` : asked.kind, meaning);
});
