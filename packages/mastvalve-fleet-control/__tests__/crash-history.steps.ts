/**
 * Steps of the history of crashes.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	CrashHistory, crashLimit, quarantineMs, type FeedCursor,
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
