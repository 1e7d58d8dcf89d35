/**
 * Steps for the heads of endpoints' answers: their sizes, and what goes before them.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {InformationalHeads, systemClock} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {RunningGateway} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type HeadsWorld = World & {headsRun: RunningGateway; headsEndpoint: ScriptedEndpoint; fields: number; sentAt: number; readText: () => string; exceeded: Array<string | undefined>};

const body = 'whole.';
const informational = (bytes = 1): string => `HTTP/1.1 103 Early Hints\r\nlink: ${'x'.repeat(bytes)}\r\n\r\n`;

const start = async (world: HeadsWorld, script: Script): Promise<void> => {
	world.headsEndpoint = await startScriptedEndpoint(script);
	world.headsRun = new RunningGateway();
	await world.headsRun.start([world.headsEndpoint.address]);
};

/** Writes a text again and again, as fast as it is read. */
const repeatedly = (text: string): Script => socket => {
	const write = (): void => {
		if (!socket.destroyed) {
			socket.write(text, write);
		}
	};

	write();
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

Given('an endpoint that sends informational heads as fast as they are read', async function (this: HeadsWorld) {
	await start(this, repeatedly(informational()));
});

Given('an endpoint that sends informational heads of {int} bytes, as fast as they are read', async function (this: HeadsWorld, bytes: number) {
	await start(this, repeatedly(informational(bytes)));
});

Given('an endpoint that sends {int} informational heads before its answer', async function (this: HeadsWorld, count: number) {
	await start(this, (socket, text) => {
		socket.write(informational().repeat(count) + formatAnswer(idOf(text), body));
	});
});

When('a caller sends a request that must not be repeated', function (this: HeadsWorld) {
	const connection = this.headsRun.connect();
	this.sentAt = systemClock.now();
	connection.send('/unsafe/x');
	this.readText = connection.readText;
});

Then('the caller receives the answer', async function (this: HeadsWorld) {
	await waitUntil('the answer is whole', async () => this.readText().endsWith(body));
	assert.match(this.readText(), /^HTTP\/1.1 200 /v);
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

Then('the endpoint\'s connection is closed', async function (this: HeadsWorld) {
	await waitUntil('it is closed', async () => this.headsEndpoint.open() === 0);
});

Given('a request whose endpoint sends informational heads from its start and after {int} ms', function (this: HeadsWorld, delayMs: number) {
	const times = [0, 0, delayMs];
	const heads = new InformationalHeads(() => times.shift()!);
	this.exceeded = [heads.add([]), heads.add([])];
});

Then('the second one exceeds the bound of {int} ms', function (this: HeadsWorld, boundMs: number) {
	assert.equal(this.exceeded[0], undefined);
	assert.match(this.exceeded[1]!, new RegExp(`${boundMs} ms`, 'v'));
});
