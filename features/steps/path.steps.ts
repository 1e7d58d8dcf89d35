/**
 * Steps of the whole path.
 */

import {strict as assert} from 'node:assert';
import {Given, Then, When} from '@cucumber/cucumber';
import {writeAnswer} from 'mastvalve-fakes';
import type {TimelineEvent} from 'mastvalve-types';
import OpenAi from 'openai';
import {Deployment, readRepositoryFile} from '../support/deployment.js';
import type {ScenarioWorld} from '../support/world.js';

const question = 'Which title stands at the desk?';
const tokens = 12;
const prompt = `user: ${question}`;

const createClient = (baseUrl: string): OpenAi => new OpenAi({baseURL: `${baseUrl}/v1`, apiKey: 'none', maxRetries: 0});

Given('the deployment of {string} runs', async function (this: ScenarioWorld, example: string) {
	this.deployment = new Deployment();
	await this.deployment.prepare(await readRepositoryFile(`examples/${example}/settings.toml`));
	this.notes.set('intent', `examples/${example}/intent.toml`);
	await this.deployment.start();
});

When('the operator states and confirms its intent', async function (this: ScenarioWorld) {
	await this.running.confirmIntent(String(this.notes.get('intent')));
});

Then('the official client streams a chat with {string} to its end through every entry', async function (this: ScenarioWorld, model: string) {
	await Promise.all(this.running.listEntries().map(async entry => {
		const {data: stream, response} = await createClient(this.running.urlOf(entry.name)).chat.completions
			.create({
				model, stream: true, max_completion_tokens: tokens, messages: [{role: 'user', content: question}],
			})
			.withResponse();
		this.notes.set('request', response.headers.get('mastvalve-request-id'));
		const chunks = [];
		for await (const chunk of stream) {
			chunks.push(chunk);
		}

		assert.equal(chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').join(''), writeAnswer(model, prompt, tokens));
		assert.equal(chunks.at(-1)?.choices[0]?.finish_reason, 'stop');
	}));
});

Then('the official client gets a whole completion from {string} through every entry', async function (this: ScenarioWorld, model: string) {
	await Promise.all(this.running.listEntries().map(async entry => {
		const completion = await createClient(this.running.urlOf(entry.name)).chat.completions
			.create({model, max_completion_tokens: tokens, messages: [{role: 'user', content: question}]});
		assert.equal(completion.choices[0]?.message.content, writeAnswer(model, prompt, tokens));
	}));
});

Then('the time line shows the last request in an entry before a sidecar', async function (this: ScenarioWorld) {
	const events = await this.running.runForJson<TimelineEvent[]>('timeline', '--request', String(this.notes.get('request')));
	const kinds = events.map(event => event.kind);
	assert.deepEqual(kinds.slice(0, 3), ['request.received', 'request.routed', 'request.dispatched']);
	assert.notEqual(events[0]?.instance, events[2]?.instance);
});
