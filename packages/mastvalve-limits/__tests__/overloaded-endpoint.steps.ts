/**
 * Steps of endpoints that refuse what is too much for them.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	AdmissionKind, EndpointBackoff, parseRetryAfter, RetryAfterKind, type RetryAfter,
} from '../src/index.js';
import {OverloadedEndpoint, ReturnAtOnce} from './__fixtures__/overloaded-endpoint.js';

type OverloadWorld = World & {
	entryCount: number;
	overloaded: OverloadedEndpoint;
	returning: OverloadedEndpoint;
	backoff: EndpointBackoff;
	asked: RetryAfter;
};

const msPerSecond = 1000;

Given('{int} entries that share an endpoint with 8 slots, in virtual time', function (this: OverloadWorld, count: number) {
	this.entryCount = count;
});

When('{float} times as much comes as it takes, for {int} s', async function (this: OverloadWorld, factor: number, seconds: number) {
	this.overloaded = new OverloadedEndpoint(this.entryCount, () => new EndpointBackoff());
	this.returning = new OverloadedEndpoint(this.entryCount, () => new ReturnAtOnce());
	await this.overloaded.load(factor, seconds * msPerSecond);
	await this.returning.load(factor, seconds * msPerSecond);
});

When('it refuses everything from {int} s to {int} s, and {float} times as much comes as it takes, for {int} s', async function (this: OverloadWorld, from: number, to: number, factor: number, seconds: number) {
	this.overloaded = new OverloadedEndpoint(this.entryCount, () => new EndpointBackoff(), {from, to});
	await this.overloaded.load(factor, seconds * msPerSecond);
});

Then('no request came in the time that its entry was asked to back off', function (this: OverloadWorld) {
	assert.ok(this.overloaded.refusals.length > 0);
	assert.equal(this.overloaded.violations, 0);
});

Then('at least {float} times as many were served as by entries that return with all their requests', function (this: OverloadWorld, factor: number) {
	const served = this.overloaded.taken.length;
	const others = this.returning.taken.length;
	this.attach(`${served} and ${others} served of ${this.overloaded.came.length}`);
	assert.ok(served >= factor * others, `${served} and ${others} served of ${this.overloaded.came.length}`);
});

Then('the most refusals within 100 ms after {int} s are {int}', function (this: OverloadWorld, from: number, most: number) {
	const late = this.overloaded.refusals.filter(at => at >= from * msPerSecond);
	const counts = late.map(start => late.filter(at => at >= start && at < start + 100).length);
	assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} refusals within 100 ms`);
});

Then('at least {float} of what came in the last {int} s was served', function (this: OverloadWorld, share: number, seconds: number) {
	const from = this.overloaded.time.clock.now() - (seconds * msPerSecond);
	const came = this.overloaded.came.filter(at => at >= from).length;
	const taken = this.overloaded.taken.filter(at => at >= from).length;
	assert.ok(taken >= share * came, `${taken} of ${came}`);
});

Given('an endpoint that asked for {int} ms of backoff at {int} ms', function (this: OverloadWorld, delayMs: number, at: number) {
	this.backoff = new EndpointBackoff();
	this.backoff.recordRefusal(at, delayMs, 0);
});

When('it asks for {int} ms of backoff at {int} ms', function (this: OverloadWorld, delayMs: number, at: number) {
	this.backoff.recordRefusal(at, delayMs, 0);
});

Then('nothing may be sent at {int} ms', function (this: OverloadWorld, at: number) {
	assert.equal(this.backoff.checkAdmission(at).kind, AdmissionKind.At);
});

Then('a request may be sent at {int} ms', function (this: OverloadWorld, at: number) {
	assert.equal(this.backoff.checkAdmission(at).kind, AdmissionKind.Now);
});

When('an answer of {string} has Retry-After {string}', function (this: OverloadWorld, answeredAt: string, values: string) {
	this.asked = parseRetryAfter(values.split('|').map(value => value.trim()), answeredAt);
});

Then('it asks for {string}', function (this: OverloadWorld, meaning: string) {
	const {asked} = this;
	assert.equal(asked.kind === RetryAfterKind.Delay ? `${asked.delayMs} ms` : asked.kind, meaning);
});
