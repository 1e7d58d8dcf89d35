/**
 * Steps of failing processes.
 */

import {strict as assert} from 'node:assert';
import {rm} from 'node:fs/promises';
import {Then, When} from '@cucumber/cucumber';
import {ControlClient} from 'mastvalve-control';
import {Program, type ControlInstance, type Settings} from 'mastvalve-settings';
import {ServiceKind} from 'mastvalve-types';
import {assumeType, HybridClock} from 'mastvalve-utils';
import {
	countEffects, createLoan, expectChat, expectWholeChats, recordLoan, streamChat, type Chat, type Loan,
} from '../support/callers.js';
import {waitUntil} from '../support/conditions.js';
import type {Deployment, Status} from '../support/deployment.js';
import type {ScenarioWorld} from '../support/world.js';

const controlNames = ['control-1', 'control-2', 'control-3'];
const smallIntent = 'features/__fixtures__/small-intent.toml';

const createControl = (settings: Settings): ControlClient => new ControlClient(
	settings.instances.filter(instance => instance.program === Program.Control).map(({name, listen}) => ({name, url: `http://${listen}`})),
	new HybridClock(Date.now),
	30_000,
);

const findFollower = async (deployment: Deployment): Promise<string> => {
	const {instance} = await deployment.readStatus();
	return controlNames.find(name => name !== instance) ?? '';
};

const killAndRestart = async (deployment: Deployment, names: readonly string[]): Promise<void> => {
	await Promise.all(names.map(async name => deployment.child(name).kill()));
	names.forEach(name => {
		deployment.startInstance(name);
	});
	await Promise.all(names.map(async name => deployment.waitUntilReady(name)));
};

const readMetric = async (deployment: Deployment, name: string, metric: string): Promise<number> => {
	const res = await fetch(`${deployment.urlOf(name)}/metrics`);
	const text = await res.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${metric}{`));
	return Number(line?.split(' ').at(-1) ?? Number.NaN);
};

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

When('every stream of {string} breaks off after {int} tokens', async function (this: ScenarioWorld, sidecar: string, tokens: number) {
	await this.running.setFaults(sidecar, {breakStreams: 1, breakAfterTokens: tokens});
});

Then('{int} chats are whole and as the engine would write them', async function (this: ScenarioWorld, count: number) {
	const chats = await Promise.all(Array.from({length: count}, async () => streamChat(this.running, {entry: 'entry-1', model: 'titles', tokens: 20})));
	chats.forEach(chat => {
		assert.deepEqual({isWhole: chat.isWhole, text: chat.text}, {isWhole: true, text: expectChat('titles', 20)});
	});
});

const loanOf = (world: ScenarioWorld): Loan => assumeType<Loan>(world.notes.get('loan'));

When('a loan\'s answer is lost after its effect', async function (this: ScenarioWorld) {
	const loan = createLoan('lost answer');
	this.notes.set('loan', loan);
	await this.running.setFaults('desk-1', {breakAfterEffect: 1});
	const answer = await recordLoan(this.running, 'entry-1', loan);
	assert.deepEqual([answer.status, answer.outcome], [502, 'unknown']);
	await this.running.setFaults('desk-1', {breakAfterEffect: 0});
});

Then('a repeat through the other entry is told that its outcome is unknown', async function (this: ScenarioWorld) {
	const answer = await recordLoan(this.running, 'entry-2', loanOf(this));
	assert.deepEqual([answer.status, answer.outcome, answer.code], [409, 'unknown', 'outcome-unknown']);
});

Then('the loan was recorded {word}', async function (this: ScenarioWorld, often: string) {
	assert.equal(await countEffects(this.running, loanOf(this)), often === 'once' ? 1 : 0);
});

When('an entry is killed while a loan runs', async function (this: ScenarioWorld) {
	const loan = createLoan('killed entry');
	this.notes.set('loan', loan);
	await this.running.setFaults('desk-1', {callDelayMs: 1500});
	const answer = recordLoan(this.running, 'entry-1', loan).catch(() => undefined);
	await waitUntil('the loan was dispatched', async () => {
		const res = await fetch(`${this.running.urlOf('desk-1')}/timeline`);
		const text = await res.text();
		return text.includes('request.dispatched');
	});
	await this.running.child('entry-1').kill();
	assert.equal(await answer, undefined);
});

Then('a repeat through the other entry does not run it again', async function (this: ScenarioWorld) {
	const answer = await recordLoan(this.running, 'entry-2', loanOf(this));
	assert.deepEqual([answer.status, answer.outcome], [409, 'unknown']);
	await waitUntil('the first run has had its effect', async () => await countEffects(this.running, loanOf(this)) > 0);
});

When('a loan is recorded', async function (this: ScenarioWorld) {
	const loan = createLoan('kept answer');
	this.notes.set('loan', loan);
	const answer = await recordLoan(this.running, 'entry-1', loan);
	assert.deepEqual([answer.status, answer.outcome], [201, 'done']);
	this.notes.set('body', answer.body);
});

Then('a repeat through the other entry gets the kept answer', async function (this: ScenarioWorld) {
	const answer = await recordLoan(this.running, 'entry-2', loanOf(this));
	assert.deepEqual([answer.status, answer.outcome, answer.body, answer.isReplay], [201, 'done', this.notes.get('body'), true]);
});

When('two control instances are killed', async function (this: ScenarioWorld) {
	await Promise.all(controlNames.slice(0, 2).map(async name => this.running.child(name).kill()));
});

Then('a loan is refused as not run', async function (this: ScenarioWorld) {
	const loan = createLoan('no majority');
	this.notes.set('loan', loan);
	const answer = await recordLoan(this.running, 'entry-1', loan);
	assert.deepEqual([answer.status, answer.outcome], [503, 'not-run']);
});

Then('chats still stream through every entry', async function (this: ScenarioWorld) {
	await expectWholeChats(this.running, 'titles', 8);
});

When('an entry, a sidecar and the leader are stopped as planned while chats stream', async function (this: ScenarioWorld) {
	const {running} = this;
	const {instance: leader} = await running.readStatus();
	const stopped = ['entry-1', 'engine-1', leader];
	const begun = new Set<number>();
	const chats = Array.from({length: 8}, async (_, index) => streamChat(running, {
		entry: index % 2 === 0 ? 'entry-1' : 'entry-2',
		model: 'titles',
		tokens: 120,
		onChunk() {
			begun.add(index);
		},
	}));
	await waitUntil('all chats have begun', async () => begun.size === chats.length);
	stopped.forEach(name => {
		running.child(name).signal('SIGTERM');
	});
	this.notes.set('chats', await Promise.all(chats));
	this.notes.set('ends', await Promise.all(stopped.map(async name => running.child(name).waitForEnd())));
});

Then('all those chats are whole and every stopped program ended with code 0', function (this: ScenarioWorld) {
	const chats = assumeType<Chat[]>(this.notes.get('chats'));
	assert.deepEqual(chats.map(chat => chat.isWhole && chat.text === expectChat('titles', 120)), chats.map(() => true));
	assert.deepEqual(assumeType<Array<{code: number}>>(this.notes.get('ends')).map(end => end.code), [0, 0, 0]);
});

When('the platform\'s list shows {string} as leaving', async function (this: ScenarioWorld, id: string) {
	await fetch(`${this.running.settings.platformList ?? ''}/instances/${id}`, {method: 'PUT', body: JSON.stringify({state: 'leaving'})});
});

Then('chats are soon served by {string} alone and all are whole', async function (this: ScenarioWorld, id: string) {
	const {running} = this;
	await waitUntil('the endpoint is known to leave', async () => {
		const {configuration} = await running.readStatus();
		return configuration.endpoints['engine-1']?.state === 'leaving';
	});
	const {configuration: {revision}} = await running.readStatus();
	await waitUntil('every entry knows it', async () => {
		const revisions = await Promise.all(running.listEntries().map(async entry => readMetric(running, entry.name, 'mastvalve_configuration_revision')));
		return revisions.every(known => known >= revision);
	});
	const chats = [await expectWholeChats(running, 'titles', 8), await expectWholeChats(running, 'answers', 8), await expectWholeChats(running, 'titles', 8)].flat();
	assert.deepEqual([...new Set(chats.map(chat => chat.endpoint))], [id]);
});

When('half of all orders are lost, late or repeated while models come and go', async function (this: ScenarioWorld) {
	const {running} = this;
	const engines = running.listSidecars('model-service');
	await Promise.all(engines.map(async engine => running.setFaults(engine.name, {
		loseOrders: 0.15, loseAnswers: 0.1, delayOrders: 0.15, repeatOrders: 0.1, orderDelayMs: 400,
	})));
	const intents = await Promise.all([['m1', 'm2', 'm3', 'm4'], ['m3', 'm4', 'm5', 'm6'], ['m1', 'm5', 'm7', 'm8']].map(async (models, index) => running.writeFile(
		`intent-${index}.toml`,
		`[[services]]\nname = "model-service"\nkind = "model"\n${models.map(model => `\n[[models]]\nname = "${model}"\nservice = "model-service"\nsize = 70\n`).join('')}`,
	)));
	await running.confirmIntent(intents[0] ?? '');
	await running.confirmIntent(intents[1] ?? '');
	await running.confirmIntent(intents[2] ?? '');
});

Then('no engine was ever given more than it holds and every model is reachable', async function (this: ScenarioWorld) {
	const accounts = await Promise.all(this.running.listSidecars('model-service').map(async sidecar => {
		const res = await fetch(`${sidecar.endpointUrl}/admin/account`);
		return assumeType<{violations: number}>(await res.json());
	}));
	assert.deepEqual(accounts.map(account => account.violations), [0, 0]);
	await Promise.all(['m1', 'm5', 'm7', 'm8'].map(async model => expectWholeChats(this.running, model, 4)));
});
