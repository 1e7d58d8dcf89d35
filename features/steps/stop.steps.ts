/**
 * Steps of planned stops, leaving endpoints, and orders that get lost.
 */

import {strict as assert} from 'node:assert';
import {Then, When} from '@cucumber/cucumber';
import {assumeType, waitFor} from 'mastvalve-utils';
import {
	expectChat, expectWholeChats, streamChat, type Chat,
} from '../support/callers.js';
import {waitUntil} from '../support/conditions.js';
import {readMetric} from '../support/control-instances.js';
import type {ScenarioWorld} from '../support/world.js';

/** Time between two signals of one stop, ms. */
const signalGapMs = 350;

/** Stops programs while chats stream; each gets the signal several times. */
const stopWhileChatsStream = async ({running, notes}: ScenarioWorld, signals: number): Promise<void> => {
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
	await Array.from({length: signals}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		await waitFor(index === 0 ? 0 : signalGapMs);
		stopped.forEach(name => {
			running.child(name).signal('SIGTERM');
		});
	}, Promise.resolve());
	notes.set('chats', await Promise.all(chats));
	notes.set('ends', await Promise.all(stopped.map(async name => running.child(name).waitForEnd())));
};

When('an entry, a sidecar and the leader are stopped as planned while chats stream', async function (this: ScenarioWorld) {
	await stopWhileChatsStream(this, 1);
});

When('an entry, a sidecar and the leader are stopped by three signals each while chats stream', async function (this: ScenarioWorld) {
	await stopWhileChatsStream(this, 3);
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
