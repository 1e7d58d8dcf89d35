/**
 * Steps of endpoints that ask for backoff, or say that they leave.
 */

import {strict as assert} from 'node:assert';
import {Then, When, type World} from '@cucumber/cucumber';
import type {EntriesAndControl} from './__fixtures__/entries-and-control.js';
import type {CountedAnswer, LimitedEndpoints} from './__fixtures__/limited-endpoints.js';

type BackoffWorld = World & {following: EntriesAndControl; limited: LimitedEndpoints};

const msPerSecond = 1000;

When('endpoint {int} refuses everything with Retry-After {string}', function (this: BackoffWorld, index: number, retryAfter: string) {
	this.limited.refuse(index, retryAfter);
});

When('endpoint {int} takes requests again', function (this: BackoffWorld, index: number) {
	this.limited.refuse(index, undefined);
});

When('endpoint {int} says in its answers that it is leaving', function (this: BackoffWorld, index: number) {
	this.limited.leave(index);
});

/** What came to an endpoint from the entry that got an answer, after that answer and within a span. */
const listBetween = ({following, limited}: BackoffWorld, index: number, answer: CountedAnswer, fromMs: number, untilMs: number): CountedAnswer[] => {
	const entry = following.entryOf.get(answer.request);
	return limited.listAnswers(index).filter(({request, at}) => following.entryOf.get(request) === entry && at > answer.at + fromMs && at < answer.at + untilMs);
};

Then('no entry sent endpoint {int} more than {int} requests between {int} ms after a refusal and the end of its backoff', function (this: BackoffWorld, index: number, most: number, fromMs: number) {
	const refusals = this.limited.listAnswers(index).filter(({retryAfter}) => retryAfter !== undefined);
	const counts = refusals.map(answer => listBetween(this, index, answer, fromMs, Number(answer.retryAfter) * msPerSecond).length);
	assert.ok(refusals.length > 0);
	assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} requests of one entry in the time that it was asked to back off`);
});

Then('no entry sent endpoint {int} a request later than {int} ms after it had been told', function (this: BackoffWorld, index: number, fromMs: number) {
	const told = this.limited.listAnswers(index).filter(({isLeaving}) => isLeaving);
	const late = told.flatMap(answer => listBetween(this, index, answer, fromMs, Number.POSITIVE_INFINITY));
	assert.ok(told.length > 0);
	assert.deepEqual([...new Set(late.map(({request}) => request))], []);
});
