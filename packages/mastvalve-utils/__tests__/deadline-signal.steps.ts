/**
 * Steps for signals that abort after a time.
 */

import {strict as assert} from 'node:assert';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, createDeadlineSignal, waitFor} from '../src/index.js';

type DeadlineWorld = World & {deadlines: number; passed: number; followed: AbortController};

/** Time between two collections, ms. */
const collectionGapMs = 20;

Given('{int} deadlines of {int} ms that also follow another signal, each with a listener', function (this: DeadlineWorld, count: number, ms: number) {
	this.deadlines = count;
	this.passed = 0;
	this.followed = new AbortController();
	Array.from({length: count}).forEach(() => {
		createDeadlineSignal(ms, [this.followed.signal]).addEventListener('abort', () => {
			this.passed += 1;
		}, {once: true});
	});
});

When('garbage is collected before they pass', async () => {
	setFlagsFromString('--expose_gc');
	const collectGarbage = assumeType<() => void>(runInNewContext('gc'));
	await waitFor(collectionGapMs);
	collectGarbage();
	await waitFor(collectionGapMs);
	collectGarbage();
});

When('the other signal aborts', function (this: DeadlineWorld) {
	this.followed.abort();
});

Then('all of them have passed after {int} ms', async function (this: DeadlineWorld, ms: number) {
	await waitFor(ms);
	assert.equal(this.passed, this.deadlines);
});
