/**
 * Steps of `mastvalve dev`.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {Child} from '../support/child.js';
import {waitUntil} from '../support/conditions.js';
import {findFreePorts} from '../support/free-ports.js';
import type {ScenarioWorld} from '../support/world.js';

type DevWorld = ScenarioWorld & {dev: Child | undefined; devPort: number};

Given('"mastvalve dev" is ready on a free port', async function (this: DevWorld) {
	const [port = 0] = await findFreePorts(1);
	const dev = new Child(['dev', '--listen', `127.0.0.1:${port}`]);
	this.dev = dev;
	this.devPort = port;
	await waitUntil('it is ready', async () => dev.stdout.includes('Ctrl-C ends it.'));
});

Then('a chat is answered at once', async function (this: DevWorld) {
	const res = await fetch(`http://127.0.0.1:${this.devPort}/v1/chat/completions`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({model: 'headings', messages: [{role: 'user', content: 'An atlas'}]}),
	});
	assert.equal(res.status, 200, await res.text());
});

When('it gets two SIGINT at once', function (this: DevWorld) {
	this.dev?.signal('SIGINT');
	this.dev?.signal('SIGINT');
});

Then('it ends with code {int}', async function (this: DevWorld, code: number) {
	const finished = await this.dev?.waitForEnd();
	assert.equal(finished?.code, code, finished?.stderr);
});

After(async function (this: DevWorld) {
	await this.dev?.kill();
});
