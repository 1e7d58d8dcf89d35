/**
 * Steps of control under failure: kills, lost disks, frozen leaders, racing operators.
 */

import {strict as assert} from 'node:assert';
import {rm} from 'node:fs/promises';
import {Then, When} from '@cucumber/cucumber';
import {ControlClient} from 'mastvalve-control';
import type {ControlInstance} from 'mastvalve-settings';
import {ServiceKind} from 'mastvalve-types';
import {assumeType, HybridClock} from 'mastvalve-utils';
import {expectWholeChats} from '../support/callers.js';
import {waitUntil} from '../support/conditions.js';
import {
	controlNames, createControl, findFollower, killAndRestart, readMetric,
} from '../support/control-instances.js';
import type {Status} from '../support/deployment.js';
import type {ScenarioWorld} from '../support/world.js';

const smallIntent = 'features/__fixtures__/small-intent.toml';

When('an operator\'s confirmed request is resent after the leader was killed', async function (this: ScenarioWorld) {
	const {running} = this;
	const plan = await running.runForJson<{id: string}>('intent', 'state', smallIntent);
	const first = await running.runForJson('plan', 'confirm', plan.id, '--request-id', 'resent-1');
	const {instance} = await running.readStatus();
	await running.child(instance).kill();
	this.notes.set('killed', instance);
	this.notes.set('first', first);
	this.notes.set('again', await running.runForJson('plan', 'confirm', plan.id, '--request-id', 'resent-1'));
});

Then('it gets its first answer', async function (this: ScenarioWorld) {
	assert.deepEqual(this.notes.get('again'), this.notes.get('first'));
	const {configuration} = await this.running.readStatus();
	assert.equal(configuration.version, 2);
});

Then('the killed instance returns and follows', async function (this: ScenarioWorld) {
	const killed = String(this.notes.get('killed'));
	const {commitIndex} = await this.running.readStatus();
	this.running.startInstance(killed);
	await waitUntil(`${killed} has caught up`, async () => await readMetric(this.running, killed, 'mastvalve_commit_index') >= commitIndex);
});

When('all control instances are killed and started again', async function (this: ScenarioWorld) {
	await killAndRestart(this.running, controlNames);
});

Then('the same version is in force and chats stream through every entry', async function (this: ScenarioWorld) {
	const {configuration} = await this.running.readStatus();
	assert.equal(configuration.version, 1);
	await expectWholeChats(this.running, 'titles', 8);
});

When('a follower loses its disk and is repaired', async function (this: ScenarioWorld) {
	const {running} = this;
	const {voters: before, instance} = await running.readStatus();
	const follower = await findFollower(running);
	await running.child(follower).kill();
	await rm(assumeType<ControlInstance>(running.findInstance(follower)).dataFolder, {recursive: true});
	running.startInstance(follower);
	await waitUntil('it is a voter under a new identity', async () => {
		const {voters, learners} = await running.readStatus();
		const identity = voters.find(voter => voter.startsWith(`${follower}#`));
		return voters.length === 3 && learners.length === 0 && identity !== undefined && !before.includes(identity);
	});
	this.notes.set('second loss', controlNames.find(name => name !== follower && name !== instance));
});

When('another control instance is killed right after', async function (this: ScenarioWorld) {
	await this.running.child(String(this.notes.get('second loss'))).kill();
});

When('the leader is frozen until another one leads, and then wakes', async function (this: ScenarioWorld) {
	const {running} = this;
	const {instance} = await running.readStatus();
	running.child(instance).signal('SIGSTOP');
	await waitUntil('another one leads', async () => {
		const status: Status = await running.readStatus();
		return status.instance !== instance;
	});
	running.child(instance).signal('SIGCONT');
	this.notes.set('woken', instance);
});

Then('it answers only as a follower', async function (this: ScenarioWorld) {
	const woken = String(this.notes.get('woken'));
	const {listen} = this.running.findInstance(woken);
	const alone = new ControlClient([{name: woken, url: `http://${listen}`}], new HybridClock(Date.now), 500);
	const answer = await alone.readStatus();
	assert.equal(answer.isErr() && answer.error.code, 'not-leader');
	await waitUntil('it follows the new leader', async () => await readMetric(this.running, woken, 'mastvalve_term') >= 2);
});

When('a follower is away for {int} changes', async function (this: ScenarioWorld, count: number) {
	const follower = await findFollower(this.running);
	await this.running.child(follower).kill();
	const control = createControl(this.running.settings);
	const stated = await Promise.all(Array.from({length: count}, async (_, index) => control.stateIntent({
		requestId: `away-${index}`,
		intent: {services: [{name: `service-${index}`, kind: ServiceKind.Plain, notRepeated: []}], models: [], events: []},
	})));
	assert.ok(stated.every(plan => plan.isOk()));
	this.notes.set('away', follower);
});

Then('it catches up', async function (this: ScenarioWorld) {
	const follower = String(this.notes.get('away'));
	const {commitIndex} = await this.running.readStatus();
	assert.ok(commitIndex > 500);
	this.running.startInstance(follower);
	await waitUntil(`${follower} has all changes`, async () => await readMetric(this.running, follower, 'mastvalve_commit_index') >= commitIndex);
});

When('two operators confirm different plans of the same version', async function (this: ScenarioWorld) {
	const {running} = this;
	const control = createControl(running.settings);
	const {configuration} = await running.readStatus();
	assert.equal(configuration.version, 1);
	const plans = await Promise.all(['anna', 'bela'].map(async name => {
		const stated = await control.stateIntent({requestId: `state-${name}`, intent: {services: [{name, kind: ServiceKind.Plain, notRepeated: []}], models: [], events: []}});
		return stated._unsafeUnwrap();
	}));
	this.notes.set('confirmations', await Promise.all(plans.map(async (plan, index) => control.confirmPlan({requestId: `confirm-${index}`, planId: plan.id}))));
});

Then('one is told its version and the other exactly that it lost', function (this: ScenarioWorld) {
	const confirmations = assumeType<Array<Awaited<ReturnType<ControlClient['confirmPlan']>>>>(this.notes.get('confirmations'));
	const versions = confirmations.flatMap(confirmation => (confirmation.isOk() ? [confirmation.value.version] : []));
	const codes = confirmations.flatMap(confirmation => (confirmation.isErr() ? [confirmation.error.code] : []));
	assert.deepEqual({versions, codes}, {versions: [2], codes: ['version-conflict']});
});
