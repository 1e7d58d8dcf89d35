/**
 * Steps for keys, workspaces and limits at an entry.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {digestKey, LimitUnit, type Workspace} from 'mastvalve-access';
import {WeightSource} from 'mastvalve-fleet';
import {systemClock, waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type KeysWorld = World & {
	entryRun: RunningGateway;
	keyedEndpoint: ScriptedEndpoint;
	/** Raw requests that the endpoint received. */
	heads: string[];
	isRefusing: boolean;
	answers: Received[];
};

const createWorkspace = (keys: readonly string[]): Workspace => ({
	name: 'w1',
	keyDigests: keys.map(key => digestKey(key)),
	priority: 1,
	limit: {
		unit: LimitUnit.Requests, ratePerSecond: 10, burst: 10, plainTokens: 0,
	},
});

const sendRequest = async (world: KeysWorld, headers: Record<string, string>, path = '/safe/x'): Promise<void> => {
	world.answers.push(await world.entryRun.call(path, {headers}));
};

const createKeyHeader = (key: string): Record<string, string> => ({authorization: `Bearer ${key}`});

Given('an entry where the workspace {string} holds the key {string}, and an endpoint', async function (this: KeysWorld, _name: string, key: string) {
	this.heads = [];
	this.answers = [];
	this.isRefusing = false;
	this.keyedEndpoint = await startScriptedEndpoint((socket, text) => {
		this.heads.push(text);
		socket.write(this.isRefusing ? formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n') : formatAnswer(idOf(text), 'whole'));
	});
	this.entryRun = new RunningGateway();
	this.entryRun.setWorkspaces([createWorkspace([key])]);
	await this.entryRun.start([this.keyedEndpoint.address]);
});

After(async function (this: KeysWorld) {
	this.keyedEndpoint?.close();
	await this.entryRun?.stop();
});

Given('control confirmed the entry\'s keys {int} ms ago', function (this: KeysWorld, ageMs: number) {
	const {access} = this.entryRun;
	this.entryRun.suspendedMs += 1000;
	assert.equal(access.canAuthorize, false);
	access.recordAnswer(systemClock.now(), -ageMs);
});

Given('the entry was suspended for {int} ms', function (this: KeysWorld, ms: number) {
	this.entryRun.suspendedMs += ms;
});

Given('the entry was suspended for {int} ms while its query was in flight', function (this: KeysWorld, ms: number) {
	const queriedAt = systemClock.now();
	this.entryRun.suspendedMs += ms;
	this.entryRun.access.recordAnswer(queriedAt, 0);
});

Given('the leader allows a request of {string} in {int} ms', function (this: KeysWorld, _name: string, ms: number) {
	this.entryRun.limitWaitMs = ms;
});

Given('the endpoint refuses all requests as not run', function (this: KeysWorld) {
	this.isRefusing = true;
});

When('a caller sends a request with the key {string}', async function (this: KeysWorld, key: string) {
	await sendRequest(this, createKeyHeader(key));
});

When('a caller sends a request with the key {string} and a header for the workspace {string}', async function (this: KeysWorld, key: string, workspace: string) {
	await sendRequest(this, {...createKeyHeader(key), 'X-Workspace': workspace});
});

When('a caller sends a request with the authorization header {string}', async function (this: KeysWorld, header: string) {
	await sendRequest(this, header === '' ? {} : {authorization: header});
});

When('a caller sends a request with the keys {string} and {string} in two authorization headers', async function (this: KeysWorld, first: string, second: string) {
	const connection = this.entryRun.connect();
	connection.send('/safe/x', `authorization: Bearer ${first}\r\nAuthorization: Bearer ${second}\r\n`);
	await waitUntil('an answer has arrived', async () => connection.readText().includes('\r\n\r\n'));
	this.answers.push({
		status: Number(/^HTTP\/1.1 (?<status>\d+)/v.exec(connection.readText())?.groups?.status), body: connection.readText(), isWhole: true, headers: {},
	});
	connection.disconnect();
});

When('a caller sends a request on an anonymous route with the key {string}', async function (this: KeysWorld, key: string) {
	await sendRequest(this, createKeyHeader(key), '/open/x');
});

When('a request with the key {string} waits for a model, the key is revoked, and the model is loaded', async function (this: KeysWorld, key: string) {
	this.entryRun.setEndpoints([this.keyedEndpoint.address], ['m'], {model: 'rare', expectedMs: 800, source: WeightSource.Memory});
	const sent = sendRequest(this, {...createKeyHeader(key), 'x-model': 'rare'}, '/patient/x');
	await waitUntil('the request is held', async () => this.entryRun.logged.includes('request.waits'));
	this.entryRun.setWorkspaces([createWorkspace([])]);
	this.entryRun.setEndpoints([this.keyedEndpoint.address], ['m', 'rare']);
	await sent;
});

When('a caller sends a request with the key {string} and control answers {int} ms later', async function (this: KeysWorld, key: string, ms: number) {
	const sent = sendRequest(this, createKeyHeader(key));
	await waitFor(ms);
	this.entryRun.access.recordAnswer(systemClock.now(), 0);
	await sent;
});

When('a caller sends {int} requests with the key {string}', async function (this: KeysWorld, times: number, key: string) {
	await Array.from({length: times}).reduce<Promise<void>>(async before => {
		await before;
		await sendRequest(this, createKeyHeader(key));
	}, Promise.resolve());
	assert.deepEqual(this.answers.map(({status}) => status), this.answers.map(() => 200));
});

When('the leader stops answering, and the caller sends {int} requests', async function (this: KeysWorld, times: number) {
	this.entryRun.limitWaitMs = undefined;
	this.answers = [];
	await Array.from({length: times}).reduce<Promise<void>>(async before => {
		await before;
		await sendRequest(this, createKeyHeader('secret-1'));
	}, Promise.resolve());
});

When('a caller sends a request with the key {string} and one with the unknown key {string}', async function (this: KeysWorld, known: string, unknown: string) {
	await sendRequest(this, createKeyHeader(known));
	await sendRequest(this, createKeyHeader(unknown));
});

Then('the answer has status {int}', function (this: KeysWorld, status: number) {
	assert.equal(this.answers.at(-1)?.status, status, this.answers.at(-1)?.body);
});

Then('the answer has status {int} and a Retry-After', function (this: KeysWorld, status: number) {
	assert.equal(this.answers.at(-1)?.status, status, this.answers.at(-1)?.body);
	assert.ok(Number(this.answers.at(-1)?.headers['retry-after']) > 0);
});

Then('the answer has status {int} and a Retry-After of {float} s', function (this: KeysWorld, status: number, seconds: number) {
	assert.equal(this.answers.at(-1)?.status, status);
	assert.equal(Number(this.answers.at(-1)?.headers['retry-after']), seconds);
});

Then('the endpoint received no request', function (this: KeysWorld) {
	assert.deepEqual(this.heads, []);
});

Then('the endpoint received the workspace {string} once, and no {string}', function (this: KeysWorld, workspace: string, secret: string) {
	assert.deepEqual(this.heads.join('').match(/^x-workspace: .*$/gimv)?.map(line => line.trim()), [`x-workspace: ${workspace}`]);
	assert.equal(this.heads.join('').includes(secret), false);
});

Then('the endpoint received no workspace, and no {string}', function (this: KeysWorld, secret: string) {
	assert.equal(this.heads.length, 1);
	assert.equal(/x-workspace|authorization/iv.test(this.heads[0]!), false);
	assert.equal(this.heads[0]!.includes(secret), false);
});

Then('the next call to the leader refunds the claim', async function (this: KeysWorld) {
	await sendRequest(this, createKeyHeader('secret-1'));
	assert.deepEqual(this.entryRun.claimed, [1, -1, 1]);
});

Then('some of them are served, and no more than the recent rate allows', function (this: KeysWorld) {
	const served = this.answers.filter(({status}) => status === 200).length;
	// 6 requests in the last 8 s are 0.75 per second; a workspace without a recent refusal may exceed its rate by one, and the 30 take less than 2 s.
	assert.ok(served >= 1 && served <= 3, `${served} were served`);
	assert.ok(this.answers.every(({status}) => status === 200 || status === 429));
});

Then('no log line and no answer contains {string}', function (this: KeysWorld, secret: string) {
	assert.equal(this.entryRun.lines.length > 0, true);
	assert.equal(this.entryRun.lines.join('\n').includes(secret), false);
	assert.equal(JSON.stringify(this.answers).includes(secret), false);
});
