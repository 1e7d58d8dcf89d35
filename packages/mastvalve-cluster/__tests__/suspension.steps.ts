/**
 * Steps for suspended instances: members of a log in virtual time, each with a monotonic clock that misses its suspensions.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {VirtualGroup} from './__fixtures__/virtual-group.js';

/** `affected` is the index of the member that is suspended or whose wall clock steps. */
type SuspensionWorld = World & {virtualGroup: VirtualGroup; affected: number; term: number};

const electionWaitMs = 3000;
/** Time after a suspension in which the former leader is checked at every step, ms. */
const observationMs = 1000;

Given('{int} members of a log with a leader', async function (this: SuspensionWorld, count: number) {
	this.virtualGroup = new VirtualGroup(count);
	await this.virtualGroup.run(electionWaitMs);
	assert.notEqual(this.virtualGroup.leader, undefined);
	this.term = this.virtualGroup.nodes[this.virtualGroup.leader!]!.replica.term;
});

const suspend = async (world: SuspensionWorld, index: number, ms: number): Promise<void> => {
	world.affected = index;
	world.virtualGroup.suspend(index);
	await world.virtualGroup.run(ms);
	assert.equal(await world.virtualGroup.commit('while it was suspended'), true);
	world.virtualGroup.resume(index);
};

When('the leader is suspended for {int} ms while the others commit a change', async function (this: SuspensionWorld, ms: number) {
	await suspend(this, this.virtualGroup.leader!, ms);
});

When('a follower is suspended for {int} ms while the others commit a change', async function (this: SuspensionWorld, ms: number) {
	await suspend(this, (this.virtualGroup.leader! + 1) % this.virtualGroup.nodes.length, ms);
});

Then('the former leader never claims a valid lease with stale state after it resumes', async function (this: SuspensionWorld) {
	const node = this.virtualGroup.nodes[this.affected]!;
	let staleClaims = 0;
	const check = (): void => {
		staleClaims += node.hasLinearizableState() && node.appliedIndex < this.virtualGroup.maxAppliedIndex ? 1 : 0;
	};

	// A call of an operator may be processed before any message of the other members.
	check();
	await this.virtualGroup.run(observationMs, check);
	assert.equal(staleClaims, 0);
});

Then('the follower reports no contact with the leader when it resumes', function (this: SuspensionWorld) {
	assert.equal(this.virtualGroup.nodes[this.affected]!.leaderContactAt(), undefined);
});

Then('after {int} ms all members have the change', async function (this: SuspensionWorld, ms: number) {
	await this.virtualGroup.run(ms);
	assert.deepEqual(this.virtualGroup.applied.map(commands => commands.at(-1)), this.virtualGroup.nodes.map(() => 'while it was suspended'));
});

When('the wall clock of the leader steps by {int} ms', function (this: SuspensionWorld, ms: number) {
	this.affected = this.virtualGroup.leader!;
	this.virtualGroup.stepWallClock(this.affected, ms);
});

Then('it has a valid lease again within {int} ms', async function (this: SuspensionWorld, ms: number) {
	await this.virtualGroup.run(ms);
	assert.equal(this.virtualGroup.nodes[this.affected]!.hasLinearizableState(), true);
});

Then('it is still the leader of the same term', function (this: SuspensionWorld) {
	assert.equal(this.virtualGroup.nodes[this.virtualGroup.leader!]!.replica.term, this.term);
});
