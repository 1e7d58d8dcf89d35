/**
 * Steps of the history of crashes.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
	CrashHistory, crashLimit, quarantineMs, soundCrashLimit, type FeedCursor, type ReportedSuspect,
} from 'mastvalve-fleet';
import {ElapsedTimes} from '../src/elapsed-times.js';

type HistoryWorld = World & {history: CrashHistory; revision: number};

const fingerprint = 'deadly';

const crash = (world: HistoryWorld, endpointId: string, fingerprints: string[] = [fingerprint]): void => {
	world.revision += 1;
	world.history.record({endpointId, fingerprints}, world.revision);
};

const begin = (world: HistoryWorld): void => {
	world.history = new CrashHistory();
	world.revision = 0;
};

const crashTimes = (world: HistoryWorld, count: number, name: string, fingerprints?: string[]): void => {
	Array.from({length: count}).forEach((_, index) => {
		crash(world, `${name}-${index}`, fingerprints);
	});
};

Given('a request that was reported {int} times with the crash of one endpoint and once with that of another', function (this: HistoryWorld, times: number) {
	begin(this);
	Array.from({length: times}).forEach(() => {
		crash(this, 'one');
	});
	crash(this, 'another');
});

When('it is reported with the crash of a third endpoint', function (this: HistoryWorld) {
	crash(this, 'third');
});

Then('it is not quarantined', function (this: HistoryWorld) {
	assert.equal(this.history.isQuarantined(fingerprint), false);
});

Then('it is quarantined', function (this: HistoryWorld) {
	assert.equal(this.history.isQuarantined(fingerprint), true);
	assert.deepEqual(this.history.listQuarantined(), [fingerprint]);
});

Given('{int} crashes with {int} other requests each, and in each of the last three the same one', function (this: HistoryWorld, crashes: number, others: number) {
	begin(this);
	Array.from({length: crashes}).forEach((_, index) => {
		const same = index >= crashes - crashLimit ? [fingerprint] : [];
		crash(this, `endpoint-${index}`, [...Array.from({length: others}, (__, number) => `other-${index}-${number}`), ...same]);
	});
});

Then('only that one is quarantined', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listQuarantined(), [fingerprint]);
});

Then('the snapshot of it has at most {int} KB', function (this: HistoryWorld, kilobytes: number) {
	const bytes = JSON.stringify(this.history.takeSnapshot()).length;
	this.attach(`${bytes} bytes`);
	assert.ok(bytes <= kilobytes * 1000, `${bytes} bytes`);
});

Given('a request that is quarantined', function (this: HistoryWorld) {
	begin(this);
	crashTimes(this, crashLimit, 'endpoint');
	assert.equal(this.history.isQuarantined(fingerprint), true);
});

When('its time is over by the leader\'s clock', function (this: HistoryWorld) {
	const clock = new ElapsedTimes(() => quarantineMs);
	assert.deepEqual(clock.listElapsed(this.history.listQuarantined(), 0), []);
	assert.deepEqual(clock.listElapsed(this.history.listQuarantined(), quarantineMs), []);
	this.history.release(clock.listElapsed(this.history.listQuarantined(), quarantineMs + 1), this.revision);
});

Then('it is released, and {int} more crashes don\'t quarantine it again', function (this: HistoryWorld, count: number) {
	assert.equal(this.history.isQuarantined(fingerprint), false);
	crashTimes(this, count, 'later');
	assert.equal(this.history.isQuarantined(fingerprint), false);
});

Then('the third does', function (this: HistoryWorld) {
	crash(this, 'later-third');
	assert.equal(this.history.isQuarantined(fingerprint), true);
});

Given('{int} requests that are quarantined one after the other', function (this: HistoryWorld, count: number) {
	begin(this);
	Array.from({length: count}).forEach((_, index) => {
		crashTimes(this, crashLimit, `endpoint-${index}`, [`deadly-${index}`]);
	});
});

Then('a follower that reads all of it holds the last {int}', function (this: HistoryWorld, count: number) {
	const held = new Set<string>();
	let cursor: FeedCursor | undefined;
	while (this.history.feed.hasMore(cursor)) {
		const part = this.history.feed.readAfter(cursor);
		part.changes.forEach(change => {
			held.add(change.fingerprint);
		});
		cursor = part.cursor;
	}

	assert.deepEqual([...held].toSorted(), this.history.listQuarantined().toSorted());
	assert.equal(held.size, count);
	assert.equal(held.has('deadly-0'), false);
});

const crashingPart = 'part-crashing';
const sharedPart = 'part-shared';
const queuedPart = 'part-queued';

const createReported = (suspect: string, more: Partial<ReportedSuspect> = {}): ReportedSuspect => ({
	fingerprint: suspect, requests: 1, beginnings: 0, successes: 0, ...more,
});

const report = (world: HistoryWorld, endpointId: string, suspects: ReportedSuspect[]): void => {
	world.revision += 1;
	world.history.record({endpointId, fingerprints: [], suspects}, world.revision);
};

const repeat = (count: number, body: (number: number) => void): void => {
	Array.from({length: count}).forEach((_, number) => {
		body(number);
	});
};

Given('{int} crashes with one request each that has a shared and a crashing part, and {int} others with the shared one', function (this: HistoryWorld, count: number, others: number) {
	begin(this);
	repeat(count, number => {
		report(this, `endpoint-${number}`, [createReported(`request-${number}`), createReported(sharedPart, {requests: others + 1}), createReported(crashingPart)]);
	});
});

Then('only the crashing part is quarantined', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listQuarantined(), [crashingPart]);
});

Given('{int} crashes, each reported with a part of a queued request and with a part of an answer that was just beginning, the {word} first', function (this: HistoryWorld, count: number, first: string) {
	begin(this);
	const reports = [[createReported(queuedPart)], [createReported(crashingPart, {beginnings: 1})]];
	const ordered = first === 'queued' ? reports : reports.toReversed();
	repeat(count, number => {
		ordered.forEach(suspects => {
			report(this, `endpoint-${number}`, suspects);
		});
	});
});

Then('only the part of the beginning answers is quarantined', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listQuarantined(), [crashingPart]);
});

const recordAnswer = (world: HistoryWorld, answeredNumber: number): string[] => {
	world.revision += 1;
	return world.history.recordSuccesses([{
		fingerprint: crashingPart, answeredNumber, begunNumber: answeredNumber, successes: 1,
	}], world.revision);
};

Given('a part that is quarantined after {int} crashes', function (this: HistoryWorld, count: number) {
	begin(this);
	crashTimes(this, count, 'endpoint', [crashingPart]);
	assert.deepEqual(this.history.listQuarantined(), [crashingPart]);
});

When('an entry reports an answer to a request that it sent after crash {int}', function (this: HistoryWorld, number: number) {
	recordAnswer(this, number);
});

Then('the part is quarantined by {int} crashes from now on', function (this: HistoryWorld, count: number) {
	assert.deepEqual(this.history.listQuarantined(), []);
	crashTimes(this, count - crashLimit - 1, 'later', [crashingPart]);
	assert.deepEqual(this.history.listDue(), []);
	crashTimes(this, count - crashLimit, 'later', [crashingPart]);
	assert.deepEqual(this.history.listDue(), [crashingPart]);
});

Then('only the crashes after that one count', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listDue(), []);
	crashTimes(this, soundCrashLimit - 2, 'last', [crashingPart]);
	assert.deepEqual(this.history.listDue(), []);
	crash(this, 'very-last', [crashingPart]);
	assert.deepEqual(this.history.listDue(), [crashingPart]);
});

Given('a part that was answered and is in flight at {int} crashes', function (this: HistoryWorld, count: number) {
	begin(this);
	repeat(count, number => {
		report(this, `endpoint-${number}`, [createReported(crashingPart, {successes: 1})]);
	});
});

Then('it is due, but not quarantined', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listDue(), [crashingPart]);
	assert.deepEqual(this.history.listQuarantined(), []);
});

When('nothing has cleared it in time', function (this: HistoryWorld) {
	this.revision += 1;
	this.history.quarantineDue(this.history.listDue(), this.revision);
});

Then('it is quarantined, and a probation is allowed', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listQuarantined(), [crashingPart]);
	assert.equal(this.history.countProbations(crashingPart), 0);
});

When('it is on probation', function (this: HistoryWorld) {
	this.revision += 1;
	assert.ok(this.history.beginProbation([crashingPart], this.revision));
});

Then('it is neither quarantined nor due', function (this: HistoryWorld) {
	assert.deepEqual(this.history.listQuarantined(), []);
	assert.deepEqual(this.history.listDue(), []);
});

Then('one more crash quarantines it again', function (this: HistoryWorld) {
	report(this, 'one-more', [createReported(crashingPart)]);
	assert.deepEqual(this.history.listQuarantined(), [crashingPart]);
	assert.equal(this.history.countProbations(crashingPart), 1);
});

/** A step of a drawn history: a crash of an endpoint, or an answer. */
const drawnStep = fc.record({
	endpoint: fc.integer({min: 0, max: 12}),
	suspects: fc.array(fc.record({
		fingerprint: fc.constantFrom('part-a', 'part-b', 'part-c', 'request-1', 'request-2'), requests: fc.integer({min: 1, max: 5}), beginnings: fc.constantFrom(0, 0, 1), successes: fc.constantFrom(0, 0, 3),
	}), {maxLength: 4}),
	answered: fc.option(fc.record({
		fingerprint: fc.constantFrom('part-a', 'part-b'), answeredNumber: fc.integer({min: 0, max: 8}), begunNumber: fc.integer({min: 0, max: 8}), successes: fc.constant(1),
	}), {nil: undefined}),
	isProbation: fc.boolean(),
});

Then('for {int} drawn histories, a restored one quarantines what the original does', (count: number) => {
	fc.assert(fc.property(fc.array(drawnStep, {maxLength: 20}), fc.array(drawnStep, {maxLength: 10}), (before, after) => {
		const apply = (history: CrashHistory, steps: typeof before, from: number): void => {
			steps.forEach(({endpoint, suspects, answered, isProbation}, index) => {
				const revision = from + index;
				history.record({endpointId: `endpoint-${endpoint}`, fingerprints: [], suspects}, revision);
				history.recordSuccesses(answered ? [answered] : [], revision);
				history.quarantineDue(history.listDue(), revision);
				history.beginProbation(isProbation ? history.listQuarantined() : [], revision);
			});
		};

		const original = new CrashHistory();
		apply(original, before, 1);
		const restored = CrashHistory.restore(structuredClone(original.takeSnapshot()));
		apply(original, after, before.length + 1);
		apply(restored, after, before.length + 1);
		assert.deepEqual(restored.listQuarantined().toSorted(), original.listQuarantined().toSorted());
		assert.deepEqual(restored.takeSnapshot(), original.takeSnapshot());
	}), {numRuns: count, seed: 59});
});

Given('the snapshot of an earlier version with a request that was in flight at {int} crashes', function (this: HistoryWorld, count: number) {
	this.revision = 10;
	this.history = CrashHistory.restore({
		suspects: [[fingerprint, Array.from({length: count}, (_, number) => `earlier-${number}`)]], quarantine: [], forgotten: {revision: -1, key: ''},
	});
});

Then('a third crash quarantines it', function (this: HistoryWorld) {
	crash(this, 'third');
	assert.deepEqual(this.history.listQuarantined(), [fingerprint]);
});
