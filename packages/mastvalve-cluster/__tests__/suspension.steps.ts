/**
 * Steps of suspended instances: members of a log in virtual time, each with a steady clock that misses its suspensions.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {VirtualGroup} from './__fixtures__/virtual-group.js';

/** `suspended` is the one that something happens to. */
type SuspensionWorld = World & {virtualGroup: VirtualGroup; suspended: number; term: number};

const electionLimitMs = 3000;
/** Time behind a suspension in which the former leader is asked at every turn, ms. */
const watchMs = 1000;

Given('{int} members of a log of which one leads', async function (this: SuspensionWorld, count: number) {
	this.virtualGroup = new VirtualGroup(count);
	await this.virtualGroup.run(electionLimitMs);
	assert.notEqual(this.virtualGroup.leader, undefined);
	this.term = this.virtualGroup.nodes[this.virtualGroup.leader!]!.replica.term;
});

const suspend = async (world: SuspensionWorld, index: number, ms: number): Promise<void> => {
	world.suspended = index;
	world.virtualGroup.suspend(index);
	await world.virtualGroup.run(ms);
	assert.equal(await world.virtualGroup.commit('while it was suspended'), true);
	world.virtualGroup.wake(index);
};

When('the leader is suspended for {int} ms, and the others commit a change', async function (this: SuspensionWorld, ms: number) {
	await suspend(this, this.virtualGroup.leader!, ms);
});

When('a follower is suspended for {int} ms, and the others commit a change', async function (this: SuspensionWorld, ms: number) {
	await suspend(this, (this.virtualGroup.leader! + 1) % this.virtualGroup.nodes.length, ms);
});

Then('the former leader says at no moment after it that it leads with a valid lease', async function (this: SuspensionWorld) {
	const node = this.virtualGroup.nodes[this.suspended]!;
	let claims = 0;
	const check = (): void => {
		claims += node.hasLinearizableState() && node.appliedIndex < this.virtualGroup.newestIndex ? 1 : 0;
	};

	// A call of an operator may be read before any message of the others.
	check();
	await this.virtualGroup.run(watchMs, check);
	assert.equal(claims, 0);
});

Then('the follower doesn\'t say on waking that it has heard the leader', function (this: SuspensionWorld) {
	assert.equal(this.virtualGroup.nodes[this.suspended]!.leaderContactAt(), undefined);
});

Then('{int} ms later all have the change', async function (this: SuspensionWorld, ms: number) {
	await this.virtualGroup.run(ms);
	assert.deepEqual(this.virtualGroup.applied.map(commands => commands.at(-1)), this.virtualGroup.nodes.map(() => 'while it was suspended'));
});

When('the time of day of the leader steps by {int} ms', function (this: SuspensionWorld, ms: number) {
	this.suspended = this.virtualGroup.leader!;
	this.virtualGroup.stepTimeOfDay(this.suspended, ms);
});

Then('it has its lease again within {int} ms', async function (this: SuspensionWorld, ms: number) {
	await this.virtualGroup.run(ms);
	assert.equal(this.virtualGroup.nodes[this.suspended]!.hasLinearizableState(), true);
});

Then('it has led without a break in one term', function (this: SuspensionWorld) {
	assert.equal(this.virtualGroup.nodes[this.virtualGroup.leader!]!.replica.term, this.term);
});
