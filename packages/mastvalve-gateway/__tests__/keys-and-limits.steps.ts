/**
 * Steps of keys, workspaces and limits at an entry.
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
	/** Heads of the requests that the endpoint got. */
	heads: string[];
	refuses: boolean;
	got: Received[];
};

const createWorkspace = (keys: readonly string[]): Workspace => ({
	name: 'w1',
	keyDigests: keys.map(key => digestKey(key)),
	priority: 1,
	limit: {
		unit: LimitUnit.Requests, ratePerSecond: 10, burst: 10, plainTokens: 0,
	},
});

const ask = async (world: KeysWorld, headers: Record<string, string>, path = '/safe/x'): Promise<void> => {
	world.got.push(await world.entryRun.call(path, {headers}));
};

const withKey = (key: string): Record<string, string> => ({authorization: `Bearer ${key}`});

Given('an entry where the workspace {string} holds the key {string}, and an endpoint', async function (this: KeysWorld, _name: string, key: string) {
	this.heads = [];
	this.got = [];
	this.refuses = false;
	this.keyedEndpoint = await startScriptedEndpoint((socket, text) => {
		this.heads.push(text);
		socket.write(this.refuses ? formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n') : formatAnswer(idOf(text), 'whole'));
	});
	this.entryRun = new RunningGateway();
	this.entryRun.setWorkspaces([createWorkspace([key])]);
	await this.entryRun.start([this.keyedEndpoint.address]);
});

After(async function (this: KeysWorld) {
	this.keyedEndpoint?.close();
	await this.entryRun?.stop();
});

Given('control was sure of the entry\'s keys {int} ms ago', function (this: KeysWorld, ageMs: number) {
	const {access} = this.entryRun;
	this.entryRun.suspendedMs += 1000;
	assert.equal(access.canAuthorize, false);
	access.recordAnswer(systemClock.now(), -ageMs);
});

Given('the entry was suspended for {int} ms', function (this: KeysWorld, ms: number) {
	this.entryRun.suspendedMs += ms;
});

Given('the entry was suspended for {int} ms while its question was on the way', function (this: KeysWorld, ms: number) {
	const askedAt = systemClock.now();
	this.entryRun.suspendedMs += ms;
	this.entryRun.access.recordAnswer(askedAt, 0);
});

Given('the leader allows a request of {string} in {int} ms', function (this: KeysWorld, _name: string, ms: number) {
	this.entryRun.limitWaitMs = ms;
});

Given('the endpoint refuses everything as not run', function (this: KeysWorld) {
	this.refuses = true;
});

When('a caller asks with the key {string}', async function (this: KeysWorld, key: string) {
	await ask(this, withKey(key));
});

When('a caller asks with the key {string} and names the workspace {string}', async function (this: KeysWorld, key: string, workspace: string) {
	await ask(this, {...withKey(key), 'X-Workspace': workspace});
});

When('a caller asks with the field {string}', async function (this: KeysWorld, field: string) {
	await ask(this, field === '' ? {} : {authorization: field});
});

When('a caller asks with the keys {string} and {string} in two fields', async function (this: KeysWorld, first: string, second: string) {
	const connection = this.entryRun.connect();
	connection.send('/safe/x', `authorization: Bearer ${first}\r\nAuthorization: Bearer ${second}\r\n`);
	await waitUntil('an answer has come', async () => connection.readText().includes('\r\n\r\n'));
	this.got.push({
		status: Number(/^HTTP\/1.1 (?<status>\d+)/v.exec(connection.readText())?.groups?.status), body: connection.readText(), isWhole: true, headers: {},
	});
	connection.disconnect();
});

When('a caller asks on an anonymous route with the key {string}', async function (this: KeysWorld, key: string) {
	await ask(this, withKey(key), '/open/x');
});

When('a caller waits for a model with the key {string}, the key is taken away, and the model comes', async function (this: KeysWorld, key: string) {
	this.entryRun.setEndpoints([this.keyedEndpoint.address], ['m'], {model: 'rare', expectedMs: 800, source: WeightSource.Memory});
	const asked = ask(this, {...withKey(key), 'x-model': 'rare'}, '/patient/x');
	await waitUntil('the request is held', async () => this.entryRun.logged.includes('request.waits'));
	this.entryRun.setWorkspaces([createWorkspace([])]);
	this.entryRun.setEndpoints([this.keyedEndpoint.address], ['m', 'rare']);
	await asked;
});

When('a caller asks with the key {string} and control answers {int} ms later', async function (this: KeysWorld, key: string, ms: number) {
	const asked = ask(this, withKey(key));
	await waitFor(ms);
	this.entryRun.access.recordAnswer(systemClock.now(), 0);
	await asked;
});

When('a caller asks {int} times with the key {string}', async function (this: KeysWorld, times: number, key: string) {
	await Array.from({length: times}).reduce<Promise<void>>(async before => {
		await before;
		await ask(this, withKey(key));
	}, Promise.resolve());
	assert.deepEqual(this.got.map(({status}) => status), this.got.map(() => 200));
});

When('the leader answers no more, and the caller asks {int} times', async function (this: KeysWorld, times: number) {
	this.entryRun.limitWaitMs = undefined;
	this.got = [];
	await Array.from({length: times}).reduce<Promise<void>>(async before => {
		await before;
		await ask(this, withKey('secret-1'));
	}, Promise.resolve());
});

When('a caller asks with the key {string} and with the unknown key {string}', async function (this: KeysWorld, known: string, unknown: string) {
	await ask(this, withKey(known));
	await ask(this, withKey(unknown));
});

Then('it gets status {int}', function (this: KeysWorld, status: number) {
	assert.equal(this.got.at(-1)?.status, status, this.got.at(-1)?.body);
});

Then('it gets status {int} and is told when to come back', function (this: KeysWorld, status: number) {
	assert.equal(this.got.at(-1)?.status, status, this.got.at(-1)?.body);
	assert.ok(Number(this.got.at(-1)?.headers['retry-after']) > 0);
});

Then('it gets status {int} and is told to come back in {float} s', function (this: KeysWorld, status: number, seconds: number) {
	assert.equal(this.got.at(-1)?.status, status);
	assert.equal(Number(this.got.at(-1)?.headers['retry-after']), seconds);
});

Then('the endpoint got nothing', function (this: KeysWorld) {
	assert.deepEqual(this.heads, []);
});

Then('the endpoint has seen the workspace {string} once, and no {string}', function (this: KeysWorld, workspace: string, secret: string) {
	assert.deepEqual(this.heads.join('').match(/^x-workspace: .*$/gimv)?.map(line => line.trim()), [`x-workspace: ${workspace}`]);
	assert.equal(this.heads.join('').includes(secret), false);
});

Then('the endpoint has seen no workspace, and no {string}', function (this: KeysWorld, secret: string) {
	assert.equal(this.heads.length, 1);
	assert.equal(/x-workspace|authorization/iv.test(this.heads[0]!), false);
	assert.equal(this.heads[0]!.includes(secret), false);
});

Then('the leader hears with the next call that the claim is given back', async function (this: KeysWorld) {
	await ask(this, withKey('secret-1'));
	assert.deepEqual(this.entryRun.claimed, [1, -1, 1]);
});

Then('some of them are served, and no more than the pace allows', function (this: KeysWorld) {
	const served = this.got.filter(({status}) => status === 200).length;
	// 6 requests of the last 8 s are 0.75 a second; one may pass on credit, and the 30 take less than 2 s.
	assert.ok(served >= 1 && served <= 3, `${served} were served`);
	assert.ok(this.got.every(({status}) => status === 200 || status === 429));
});

Then('no log line and no answer holds {string}', function (this: KeysWorld, secret: string) {
	assert.equal(this.entryRun.lines.length > 0, true);
	assert.equal(this.entryRun.lines.join('\n').includes(secret), false);
	assert.equal(JSON.stringify(this.got).includes(secret), false);
});
