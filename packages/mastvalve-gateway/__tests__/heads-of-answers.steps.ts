/**
 * Steps for the heads of endpoints' answers: their sizes, and what goes before them.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {systemClock} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {RunningGateway} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type HeadsWorld = World & {headsRun: RunningGateway; headsEndpoint: ScriptedEndpoint; fields: number; sentAt: number; readText: () => string};

const body = 'whole.';

const start = async (world: HeadsWorld, script: Script): Promise<void> => {
	world.headsEndpoint = await startScriptedEndpoint(script);
	world.headsRun = new RunningGateway();
	await world.headsRun.start([world.headsEndpoint.address]);
};

After(async function (this: Partial<HeadsWorld>) {
	this.headsEndpoint?.close();
	await this.headsRun?.stop();
});

Given('an endpoint that names the request behind {int} other fields', async function (this: HeadsWorld, fields: number) {
	this.fields = fields;
	await start(this, (socket, text) => {
		socket.write(`HTTP/1.1 200 OK\r\n${'a:\r\n'.repeat(fields)}content-length: ${body.length}\r\nx-id: ${idOf(text)}\r\n\r\n${body}`);
	});
});

Given('an endpoint that answers with a head of {int} bytes', async function (this: HeadsWorld, bytes: number) {
	await start(this, (socket, text) => {
		socket.write(formatAnswer(idOf(text), body, '200 OK', `more: ${'x'.repeat(bytes)}\r\n`));
	});
});

When('a caller sends a request that must not be repeated', function (this: HeadsWorld) {
	const connection = this.headsRun.connect();
	this.sentAt = systemClock.now();
	connection.send('/unsafe/x');
	this.readText = connection.readText;
});

Then('the caller receives the answer with all of its fields', async function (this: HeadsWorld) {
	await waitUntil('there is an answer', async () => this.readText().includes('\r\n\r\n'));
	assert.match(this.readText(), /^HTTP\/1.1 200 /v);
	assert.equal(this.readText().match(/\r\na:/gv)?.length, this.fields);
});

Then('the caller receives status {int} within {int} ms', async function (this: HeadsWorld, status: number, limitMs: number) {
	await waitUntil('there is an answer', async () => this.readText().includes('\r\n\r\n'));
	const durationMs = systemClock.now() - this.sentAt;
	assert.match(this.readText(), new RegExp(`^HTTP/1.1 ${status} `, 'v'));
	assert.ok(durationMs < limitMs, `${durationMs} ms`);
});

Then('the failed attempt is logged with {string}', function (this: HeadsWorld, bound: string) {
	const line = this.headsRun.lines.find(each => each.includes('"attempt.failed"'));
	assert.ok(line?.includes('"endpoint":"e0"') && line.includes(bound), line);
	assert.deepEqual(this.headsRun.failures, ['e0']);
});
