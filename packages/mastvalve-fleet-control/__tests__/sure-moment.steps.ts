/**
 * Steps of the moment up to which a control instance is sure, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {FreshnessTracker} from '../src/index.js';

/** Clocks of an instance that may be suspended: its steady clock stands still then. */
type Clocks = {steady: number; suspendedMs: number};
type SureWorld = World & {clocks: Clocks; sure: FreshnessTracker; isLeading: boolean; askedAt: number};

const create = (world: SureWorld, at: number, isLeading: boolean): void => {
	world.clocks = {steady: at, suspendedMs: 0};
	world.sure = new FreshnessTracker({
		group: {
			get isLeading() {
				return isLeading;
			},
			async waitUntilFresh() {
				throw new Error('the tests answer themselves');
			},
		},
		clock: {now: () => world.clocks.steady, wall: () => world.clocks.steady + world.clocks.suspendedMs},
		onError: () => undefined,
	});
};

Given('a control instance that asks its leader at {int} ms', function (this: SureWorld, at: number) {
	create(this, at, false);
	this.askedAt = at;
});

Given('a control instance that leads at {int} ms', function (this: SureWorld, at: number) {
	create(this, at, true);
});

When('the leader answers at {int} ms', function (this: SureWorld, at: number) {
	this.clocks.steady = at;
	this.sure.recordConfirmed(this.askedAt);
});

When('the instance is suspended for {int} ms, and a follower is answered', function (this: SureWorld, ms: number) {
	this.clocks.suspendedMs += ms;
	assert.equal(this.sure.read(), undefined);
});

When('it asks again at {int} ms and the leader answers at {int} ms', function (this: SureWorld, askedAt: number, at: number) {
	this.clocks.steady = at;
	this.sure.recordConfirmed(askedAt);
});

Then('the instance is sure of the moment {int} ms', function (this: SureWorld, at: number) {
	assert.equal(this.sure.read(), at);
});

Then('the instance is sure of no moment', function (this: SureWorld) {
	assert.equal(this.sure.read(), undefined);
});
