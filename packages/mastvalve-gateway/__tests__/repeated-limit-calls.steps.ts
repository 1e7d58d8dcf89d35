/**
 * Steps for calls to the leader of limits that are repeated because their connections close, in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType} from 'mastvalve-utils';
import type {Closing} from './__fixtures__/virtual-limit-entry.js';
import {
	computeAllowed, computeCapacity, hot, LimitedWorkspaces,
} from './__fixtures__/limited-workspaces.js';

type RepeatedCallsWorld = World & {fleet: LimitedWorkspaces; notRun: number};

const cost = 2400;
/** Requests that run, and that don't: together just below the limit of a window. */
const requestCount = 74;
const settledMs = 300;
const windowMs = 8000;

Given('an entry that has run half of a workspace\'s limit, and was granted nearly as much that it didn\'t run', async function (this: RepeatedCallsWorld) {
	this.fleet = new LimitedWorkspaces({entries: 1, seed: 1});
	const {time, entries: [entry]} = this.fleet;
	const grants = Array.from({length: requestCount}, async () => {
		await entry!.serve(hot, cost);
		return entry!.client.claimCost(hot, cost);
	});
	await time.advance(settledMs);
	const outcomes = await Promise.all(grants);
	this.notRun = outcomes.filter(({isTaken}) => isTaken).length;
	assert.equal(this.notRun, requestCount);
});

When('the call that refunds it is repeated, since its connection closes {string}', async function (this: RepeatedCallsWorld, closing: string) {
	const {time, entries: [entry]} = this.fleet;
	Array.from({length: this.notRun}).forEach(() => {
		entry!.client.refundCost(hot.name, cost);
	});
	entry!.nextClosing = assumeType<Closing>(closing);
	void entry!.serve(hot, cost);
	await time.advance(settledMs);
});

When('the workspace sends {int} times its limit', async function (this: RepeatedCallsWorld, load: number) {
	void this.fleet.send(hot, load);
	await this.fleet.time.advance(2 * windowMs);
	this.fleet.close();
});

Then('the workspace runs no more in any window than the tolerance allows', function (this: RepeatedCallsWorld) {
	const most = this.fleet.findMaxInWindow(hot);
	assert.ok(most <= computeAllowed(hot), `${most} of ${computeAllowed(hot)}`);
});

Then('the workspace runs its limit within a window', function (this: RepeatedCallsWorld) {
	const used = this.fleet.sumBetween(hot, 0, windowMs);
	assert.ok(used >= computeCapacity(hot), `${used} of ${computeCapacity(hot)}`);
});
