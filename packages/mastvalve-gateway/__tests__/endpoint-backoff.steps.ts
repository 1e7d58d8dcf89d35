/**
 * Steps of endpoints that ask for backoff, or say that they leave.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import type {FleetUpdate} from 'mastvalve-fleet';
import {AdmissionKind} from 'mastvalve-limits';
import {systemClock, waitFor} from 'mastvalve-utils';
import {
	CapacityWaiters, EndpointTracker, FleetView, forgetGoneEndpoints, FirstByteTimes, ModelDemand, type WaiterHandle,
} from '../src/index.js';
import type {CallResult, EntriesAndControl} from './__fixtures__/entries-and-control.js';
import type {RecordedAnswer, LimitedEndpoints} from './__fixtures__/limited-endpoints.js';
import {createEndpoint} from './__fixtures__/running-gateway.js';

type BackoffWorld = World & {
	following: EntriesAndControl;
	limited: LimitedEndpoints;
	results: CallResult[];
	view: FleetView;
	board: EndpointTracker;
	waiting: WaiterHandle[];
	/** Urgencies in the order in which requests have looked. */
	looked: number[];
};

const okStatus = 200;
const refusedStatus = 503;

const msPerSecond = 1000;

When('endpoint {int} refuses everything with Retry-After {string}', function (this: BackoffWorld, index: number, retryAfter: string) {
	this.limited.setRetryAfter(index, retryAfter);
});

When('endpoint {int} takes requests again', function (this: BackoffWorld, index: number) {
	this.limited.setRetryAfter(index, undefined);
});

When('endpoint {int} says in its answers that it is leaving', function (this: BackoffWorld, index: number) {
	this.limited.startLeaving(index);
});

/** What came to an endpoint from the entry that got an answer, after that answer and within a span. */
const listBetween = ({following, limited}: BackoffWorld, index: number, answer: RecordedAnswer, fromMs: number, untilMs: number): RecordedAnswer[] => {
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

When('control ends', async function (this: BackoffWorld) {
	await this.following.single.close();
});

Then('endpoint {int} got nothing after the restart', function (this: BackoffWorld, index: number) {
	const first = this.results.length - this.following.callsSinceRestart;
	const late = this.limited.listAnswers(index).filter(({request}) => Number(request.split('-')[1]) > first);
	assert.deepEqual(late, []);
});

Then('all requests but the first were answered', function (this: BackoffWorld) {
	assert.deepEqual(this.results.map(({status}) => status).filter(status => status !== okStatus), [refusedStatus]);
});

Then('endpoint {int} got {int} request', function (this: BackoffWorld, index: number, count: number) {
	assert.equal(this.limited.listAnswers(index).length, count);
});

Then('every request was refused within {int} ms and told to come back after {int} to {int} ms', function (this: BackoffWorld, withinMs: number, leastMs: number, mostMs: number) {
	const others = this.results.filter(({status, tookMs, retryAfter = 0}) =>
		status !== refusedStatus || tookMs > withinMs || retryAfter * msPerSecond < leastMs || retryAfter * msPerSecond > mostMs);
	assert.deepEqual(others, []);
});

const createUpdate = (revision: number, ids: readonly string[], isLast: boolean): FleetUpdate => {
	const cursor = {revision, key: ids.at(-1) ?? '', begunAt: revision};
	return {
		revision,
		endpoints: {
			isWhole: true, changes: ids.map(id => createEndpoint(id)), cursor, isLast,
		},
		configuration: {
			isWhole: false, changes: [], cursor, isLast: true,
		},
		quarantine: {
			isWhole: false, changes: [], cursor, isLast: true,
		},
	};
};

Given('a view of 2 endpoints, one of which has asked for backoff', function (this: BackoffWorld) {
	this.view = new FleetView(() => 0);
	this.board = new EndpointTracker(() => 0);
	forgetGoneEndpoints(this.view, this.board, new ModelDemand('entry', () => 0, () => undefined, new FirstByteTimes()));
	this.view.apply(createUpdate(1, ['a', 'b'], true));
	this.board.recordBackoff('b', msPerSecond, 0);
});

When('a whole state arrives whose first part lacks that endpoint', function (this: BackoffWorld) {
	this.view.apply(createUpdate(2, ['a'], false));
});

Then('the endpoint is still backed off from', function (this: BackoffWorld) {
	assert.equal(this.board.getOrCreate('b').backoff.checkAdmission(1).kind, AdmissionKind.At);
});

Given('{int} requests that wait for capacity, every tenth of them urgent', function (this: BackoffWorld, count: number) {
	const waiters = new CapacityWaiters(systemClock);
	this.looked = [];
	this.waiting = Array.from({length: count}, (_, index) => {
		const urgency = index % 10 === 0 ? 0 : 1;
		const handle = waiters.add(urgency, () => {
			this.looked.push(urgency);
			handle.remove();
		});
		return handle;
	});
});

When('they all expect it after {int} ms', async function (this: BackoffWorld, ms: number) {
	const at = systemClock.now() + ms;
	this.waiting.forEach(handle => {
		handle.scheduleRecheck(at);
	});
	await waitFor(ms * 3);
});

Then('each has looked once, the urgent ones first', function (this: BackoffWorld) {
	assert.equal(this.looked.length, this.waiting.length);
	assert.deepEqual(this.looked, this.looked.toSorted((a, b) => a - b));
});
