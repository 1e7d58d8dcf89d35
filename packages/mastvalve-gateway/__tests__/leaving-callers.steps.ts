/**
 * Steps for callers that leave before their request has ended.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {digestKey, LimitUnit} from 'mastvalve-access';
import {systemClock, waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {RunningGateway} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type LeavingWorld = World & {
	leavingRun: RunningGateway;
	leavingEndpoint: ScriptedEndpoint;
	leftAt: number;
	/** When the endpoint saw a connection close, ms. */
	closedAt: number | undefined;
	requestsBefore: number;
};

const bytesPerMegabyte = 1_048_576;
/** Time in which everything sent on loopback arrives, and an answer that isn't read has filled all buffers, ms. */
const settleMs = 300;
const shortBackoffSeconds = 0.1;
/** Time within which an entry sees that a caller has left, ms. */
const departureMs = 100;

After(async function (this: LeavingWorld) {
	this.leavingEndpoint?.close();
	await this.leavingRun?.stop();
});

const open = async (world: LeavingWorld, script: Script, prepare: (run: RunningGateway) => void = () => undefined): Promise<void> => {
	world.requestsBefore = 0;
	world.leavingEndpoint = await startScriptedEndpoint((socket, text, number) => {
		socket.once('close', () => {
			world.closedAt ??= systemClock.now();
		});
		script(socket, text, number);
	});
	world.leavingRun = new RunningGateway();
	prepare(world.leavingRun);
	await world.leavingRun.start([world.leavingEndpoint.address]);
};

Given('an entry with an endpoint that holds its answers back', async function (this: LeavingWorld) {
	await open(this, () => undefined);
});

Given('an entry with an endpoint that answers with {int} MB', async function (this: LeavingWorld, megabytes: number) {
	const body = Buffer.alloc(megabytes * bytesPerMegabyte, 'x');
	await open(this, (socket, text) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: ${body.length}\r\n\r\n`);
		socket.write(body);
	});
});

Given('the workspace of the caller has a limit, and the leader answers claims after {int} ms', function (this: LeavingWorld, delayMs: number) {
	const {leavingRun} = this;
	leavingRun.claimDelayMs = delayMs;
	leavingRun.setWorkspaces([{
		name: 'w1', keyDigests: [digestKey('k1')], priority: 1, limit: {
			unit: LimitUnit.Requests, ratePerSecond: 10, burst: 10, plainTokens: 0,
		},
	}]);
	leavingRun.setEndpoints([this.leavingEndpoint.address]);
});

Given('an entry with a limited endpoint, whose leader answers claims after {int} ms with a wait of {int} ms', async function (this: LeavingWorld, delayMs: number, waitMs: number) {
	await open(this, (socket, text) => {
		socket.write(formatAnswer(idOf(text), 'whole'));
	}, run => {
		run.limitPerSecond = 2;
		run.claimDelayMs = delayMs;
		run.permitWaitMs = waitMs;
	});
});

Given('an entry with an endpoint that has asked for a backoff of {int} s', async function (this: LeavingWorld, seconds: number) {
	const refuse = (id: string, forSeconds: number): string => formatAnswer(id, '', '503 Service Unavailable', `x-not-run: 1\r\nretry-after: ${forSeconds}\r\n`);
	await open(this, (socket, text, number) => {
		const id = idOf(text);
		// A request waits for the end of a backoff only if the endpoint has taken requests after an earlier one.
		socket.write([refuse(id, shortBackoffSeconds), formatAnswer(id, 'whole'), refuse(id, seconds)][number - 1] ?? formatAnswer(id, 'whole'));
	});
	await this.leavingRun.call('/unsafe/x');
	await waitFor(settleMs);
	await this.leavingRun.call('/unsafe/x');
	await this.leavingRun.call('/unsafe/x', {headers: {'x-left': '100'}});
	this.requestsBefore = 3;
	assert.equal(this.leavingEndpoint.requests.length, this.requestsBefore);
});

Given('an entry without a configuration', async function (this: LeavingWorld) {
	this.requestsBefore = 0;
	this.leavingEndpoint = await startScriptedEndpoint(() => undefined);
	this.leavingRun = new RunningGateway();
	await this.leavingRun.listen();
});

When('a caller leaves while its request runs', async function (this: LeavingWorld) {
	const caller = this.leavingRun.connect();
	caller.send('/patient/x');
	await waitUntil('the request runs', async () => this.leavingEndpoint.requests.length === 1);
	this.leftAt = systemClock.now();
	caller.disconnect();
});

When('a caller leaves while it does not read its answer', async function (this: LeavingWorld) {
	const caller = this.leavingRun.connect(false);
	caller.send('/patient/x');
	await waitUntil('the request runs', async () => this.leavingEndpoint.requests.length === 1);
	await waitFor(settleMs);
	this.leftAt = systemClock.now();
	caller.disconnect();
});

When('a caller leaves {int} ms after it has sent its request', async function (this: LeavingWorld, afterMs: number) {
	const caller = this.leavingRun.connect();
	caller.send('/patient/x', 'x-left: 60000\r\nauthorization: Bearer k1\r\n');
	await waitFor(afterMs);
	const {gateway} = this.leavingRun;
	assert.ok(gateway.inFlight > 0);
	this.leftAt = systemClock.now();
	caller.disconnect();
	await waitFor(departureMs);
	assert.equal(gateway.inFlight, 0);
});

Then('the endpoint sees the close within {int} ms', async function (this: LeavingWorld, limitMs: number) {
	await waitUntil('the endpoint sees the close', async () => this.closedAt !== undefined);
	const tookMs = this.closedAt! - this.leftAt;
	this.attach(`closed after ${tookMs.toFixed(1)} ms`);
	assert.ok(tookMs <= limitMs, `${tookMs} ms`);
});

Then('no request is sent within {int} ms', async function (this: LeavingWorld, ms: number) {
	await waitFor(ms);
	assert.equal(this.leavingEndpoint.requests.length, this.requestsBefore);
});

Then('no request is sent within {int} ms of the configuration', async function (this: LeavingWorld, ms: number) {
	this.leavingRun.setEndpoints([this.leavingEndpoint.address]);
	await waitFor(ms);
	assert.equal(this.leavingEndpoint.requests.length, 0);
});

Then('the cost is refunded with the next claim', async function (this: LeavingWorld) {
	this.leavingRun.connect().send('/patient/x', 'authorization: Bearer k1\r\n');
	await waitUntil('the next cost is claimed', async () => this.leavingRun.claimed.length > 1);
	assert.deepEqual(this.leavingRun.claimed, [1, -1, 1]);
});

Then('the permit is returned with the next claim', async function (this: LeavingWorld) {
	await this.leavingRun.call('/safe/x');
	assert.deepEqual(this.leavingRun.returned, ['e0']);
});

Then('the leader has received {int} permit claim(s)', function (this: LeavingWorld, count: number) {
	assert.equal(this.leavingRun.permitClaims, count);
});

Then('the reservation is released within {int} ms of the departure', async function (this: LeavingWorld, limitMs: number) {
	assert.deepEqual(this.leavingRun.released.map(({reservation}) => reservation), ['reserved']);
	const tookMs = this.leavingRun.released[0]!.at - this.leftAt;
	this.attach(`released after ${tookMs.toFixed(1)} ms`);
	assert.ok(tookMs <= limitMs, `${tookMs} ms`);
});
