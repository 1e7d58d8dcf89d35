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

type DevWorld = ScenarioWorld & {dev: Child | undefined};

Given('"mastvalve dev" is ready on a free port', async function (this: DevWorld) {
	const [port = 0] = await findFreePorts(1);
	const dev = new Child(['dev', '--listen', `127.0.0.1:${port}`]);
	this.dev = dev;
	await waitUntil('it is ready', async () => dev.stdout.includes('Ctrl-C ends it.'));
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
