/**
 * Steps of streams that break off and of calls that must not be repeated.
 */

import {strict as assert} from 'node:assert';
import {Then, When} from '@cucumber/cucumber';
import {assumeType} from 'mastvalve-utils';
import {
	countEffects, createLoan, expectChat, expectWholeChats, recordLoan, streamChat, type Loan,
} from '../support/callers.js';
import {waitUntil} from '../support/conditions.js';
import {controlNames} from '../support/control-instances.js';
import type {ScenarioWorld} from '../support/world.js';

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
