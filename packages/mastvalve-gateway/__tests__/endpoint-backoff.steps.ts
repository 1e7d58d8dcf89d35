/**
 * Steps for endpoints that request backoff, or report that they are leaving.
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
	tracker: EndpointTracker;
	waiting: WaiterHandle[];
	/** Urgencies in the order in which requests have rechecked. */
	recheckedUrgencies: number[];
};

const okStatus = 200;
const refusedStatus = 503;

const msPerSecond = 1000;

When('endpoint {int} refuses all requests with Retry-After {string}', function (this: BackoffWorld, index: number, retryAfter: string) {
	this.limited.setRetryAfter(index, retryAfter);
});

When('endpoint {int} accepts requests again', function (this: BackoffWorld, index: number) {
	this.limited.setRetryAfter(index, undefined);
});

When('endpoint {int} reports in its answers that it is leaving', function (this: BackoffWorld, index: number) {
	this.limited.startLeaving(index);
});

/** Lists the requests to an endpoint from the entry that received an answer, within a span after that answer. */
const listBetween = ({following, limited}: BackoffWorld, index: number, answer: RecordedAnswer, fromMs: number, untilMs: number): RecordedAnswer[] => {
	const entry = following.entryOf.get(answer.request);
	return limited.listAnswers(index).filter(({request, at}) => following.entryOf.get(request) === entry && at > answer.at + fromMs && at < answer.at + untilMs);
};

Then('no entry sends endpoint {int} more than {int} requests between {int} ms after a refusal and the end of its backoff', function (this: BackoffWorld, index: number, most: number, fromMs: number) {
	const refusals = this.limited.listAnswers(index).filter(({retryAfter}) => retryAfter !== undefined);
	const counts = refusals.map(answer => listBetween(this, index, answer, fromMs, Number(answer.retryAfter) * msPerSecond).length);
	assert.ok(refusals.length > 0);
	assert.ok(Math.max(...counts) <= most, `${Math.max(...counts)} requests of one entry during its backoff`);
});

Then('no entry sends endpoint {int} a request later than {int} ms after it received such an answer', function (this: BackoffWorld, index: number, fromMs: number) {
	const leavingAnswers = this.limited.listAnswers(index).filter(({isLeaving}) => isLeaving);
	const late = leavingAnswers.flatMap(answer => listBetween(this, index, answer, fromMs, Number.POSITIVE_INFINITY));
	assert.ok(leavingAnswers.length > 0);
	assert.deepEqual([...new Set(late.map(({request}) => request))], []);
});

When('control stops', async function (this: BackoffWorld) {
	await this.following.single.close();
});

Then('endpoint {int} receives no request after the restart', function (this: BackoffWorld, index: number) {
	const first = this.results.length - this.following.callsSinceRestart;
	const late = this.limited.listAnswers(index).filter(({request}) => Number(request.split('-')[1]) > first);
	assert.deepEqual(late, []);
});

Then('all requests but the first succeed', function (this: BackoffWorld) {
	assert.deepEqual(this.results.map(({status}) => status).filter(status => status !== okStatus), [refusedStatus]);
});

Then('endpoint {int} receives {int} request(s)', function (this: BackoffWorld, index: number, count: number) {
	assert.equal(this.limited.listAnswers(index).length, count);
});

Then('every request is refused within {int} ms, with a Retry-After of {int} to {int} ms', function (this: BackoffWorld, withinMs: number, leastMs: number, mostMs: number) {
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

Given('a view of 2 endpoints, one of which is in backoff', function (this: BackoffWorld) {
	this.view = new FleetView(() => 0);
	this.tracker = new EndpointTracker(() => 0);
	forgetGoneEndpoints(this.view, this.tracker, new ModelDemand('entry', () => 0, () => undefined, new FirstByteTimes()));
	this.view.apply(createUpdate(1, ['a', 'b'], true));
	this.tracker.recordBackoff('b', msPerSecond, 0);
});

When('a snapshot arrives whose first page lacks that endpoint', function (this: BackoffWorld) {
	this.view.apply(createUpdate(2, ['a'], false));
});

Then('the endpoint is still in backoff', function (this: BackoffWorld) {
	assert.equal(this.tracker.getOrCreate('b').backoff.checkAdmission(1).kind, AdmissionKind.At);
});

Given('{int} requests that wait for capacity, every tenth of them urgent', function (this: BackoffWorld, count: number) {
	const waiters = new CapacityWaiters(systemClock);
	this.recheckedUrgencies = [];
	this.waiting = Array.from({length: count}, (_, index) => {
		const urgency = index % 10 === 0 ? 0 : 1;
		const handle = waiters.add(urgency, () => {
			this.recheckedUrgencies.push(urgency);
			handle.remove();
		});
		return handle;
	});
});

When('all of them schedule a recheck in {int} ms', async function (this: BackoffWorld, ms: number) {
	const at = systemClock.now() + ms;
	this.waiting.forEach(handle => {
		handle.scheduleRecheck(at);
	});
	await waitFor(ms * 3);
});

Then('each has rechecked once, the urgent ones first', function (this: BackoffWorld) {
	assert.equal(this.recheckedUrgencies.length, this.waiting.length);
	assert.deepEqual(this.recheckedUrgencies, this.recheckedUrgencies.toSorted((a, b) => a - b));
});
