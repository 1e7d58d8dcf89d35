/**
 * Steps for the rate limit of the decision log, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {limitLines, type DecisionLogger} from '../src/index.js';

type LogWorld = World & {logDecision: DecisionLogger; lines: Array<Record<string, unknown>>; scheduled: Array<() => void>; now: number};

Given('a decision log that lists the kind {string}', function (this: LogWorld, kind: string) {
	this.lines = [];
	this.scheduled = [];
	this.now = 0;
	this.logDecision = limitLines({
		write: line => {
			this.lines.push(line);
		},
		listedKinds: new Set([kind]),
		now: () => this.now,
		schedule: callback => {
			this.scheduled.push(callback);
		},
	});
});

When('{int} lines of the kind {string} and {int} of the kind {string} are logged within a second', function (this: LogWorld, first: number, firstKind: string, second: number, secondKind: string) {
	const kinds = [...Array.from({length: first}, () => firstKind), ...Array.from({length: second}, () => secondKind)];
	kinds.forEach((kind, index) => {
		this.logDecision(kind, {request: `r${index}`});
	});
	this.now = 1000;
	this.scheduled.forEach(callback => {
		callback();
	});
});

Then('all {int} requests of the kind {string} are named, in at most {int} lines', function (this: LogWorld, count: number, kind: string, maxLines: number) {
	const named = this.lines.flatMap(line => [
		...(line.kind === kind ? [line.request] : []),
		...(line.of === kind && Array.isArray(line.requests) ? line.requests as unknown[] : []),
	]);
	assert.equal(new Set(named).size, count);
	assert.ok(this.lines.length <= maxLines, `${this.lines.length} lines`);
});

Then('the first line after that second says that {int} lines were left out', function (this: LogWorld, count: number) {
	this.logDecision('request.answered', {});
	assert.equal(this.lines.at(-1)?.leftOut, count);
});
