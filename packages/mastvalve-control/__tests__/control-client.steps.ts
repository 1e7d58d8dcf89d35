/**
 * Steps of finding the leader.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {chooseNextInstance} from '../src/client/choose-next-instance.js';

type ClientWorld = World & {count: number; leader: number | undefined; secondAttempts: number[][]};

Given('{int} control instances of which the last one leads', function (this: ClientWorld, count: number) {
	this.count = count;
	this.leader = count - 1;
});

Given('{int} control instances that know no leader', function (this: ClientWorld, count: number) {
	this.count = count;
	this.leader = undefined;
});

When('{int} calls start at once at the first instance, with answers in any order', function (this: ClientWorld, calls: number) {
	const orders = fc.sample(fc.shuffledSubarray(Array.from({length: calls}, (_, index) => index), {minLength: calls, maxLength: calls}), {numRuns: 50, seed: 1});
	this.secondAttempts = orders.map(order => {
		let preferred = 0;
		return order.map(() => {
			preferred = chooseNextInstance({
				count: this.count, asked: 0, preferred, leader: this.leader,
			});
			return preferred;
		});
	});
});

Then('every call reaches the leader with its second attempt', function (this: ClientWorld) {
	this.secondAttempts.forEach(attempts => {
		assert.deepEqual([...new Set(attempts)], [this.leader]);
	});
});

Then('{int} attempts ask {int} different instances', function (this: ClientWorld, attempts: number, different: number) {
	const asked = Array.from({length: attempts}).reduce<number[]>(made => {
		const last = made.at(-1);
		return [...made, last === undefined
			? 0
			: chooseNextInstance({
				count: this.count, asked: last, preferred: last, leader: undefined,
			})];
	}, []);
	assert.equal(new Set(asked).size, different);
});
