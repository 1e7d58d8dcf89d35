/**
 * Steps for the number of entries, with reports at virtual times.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {EntryCount} from '../src/index.js';

type EntryCountWorld = World & {
	/** Count that each entry was told last. */
	told: Array<number | undefined>;
	/** Sum of the shares after each report, once the first leader has heard all entries. */
	sums: number[];
};

const intervalMs = 1000;
const endMs = 15_000;
/** Time until the first leader has heard all entries, ms. */
const startedMs = 5000;

const sumShares = (told: ReadonlyArray<number | undefined>): number => told.reduce<number>((sum, count) => sum + (count === undefined ? 0 : 1 / count), 0);

Given('{int} entries that report once a second', function (this: EntryCountWorld, entries: number) {
	this.told = Array.from({length: entries}, () => undefined);
	this.sums = [];
});

When('leaders change at {string} s', function (this: EntryCountWorld, changes: string) {
	const changedAt = changes.split(',').map(seconds => Number(seconds) * 1000);
	const leaders = Array.from({length: changedAt.length + 1}, () => new EntryCount());
	const reports = this.told.flatMap((_, entry) => Array.from({length: endMs / intervalMs}, (__, turn) => ({entry, at: (turn + (entry / this.told.length)) * intervalMs})));
	reports.toSorted((a, b) => a.at - b.at).forEach(({entry, at}) => {
		const term = changedAt.filter(change => at >= change).length;
		leaders[term]!.record({entry: `entry ${entry}`, knownEntries: this.told[entry]}, term, at);
		this.told[entry] = leaders[term]!.count(at);
		this.sums.push(...(at < startedMs ? [] : [sumShares(this.told)]));
	});
});

Then('the shares of all entries add up to one at the most at any time, and to one at the end', function (this: EntryCountWorld) {
	const most = Math.max(...this.sums);
	assert.ok(most <= 1.000_001, `${most.toFixed(2)} at the most`);
	assert.ok(this.sums.at(-1)! > 0.999_999, `${this.sums.at(-1)!.toFixed(2)} at the end`);
});
