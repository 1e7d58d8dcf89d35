/**
 * Steps for requests whose engines the leader chooses.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {DispatchDecisionKind, RunEventKind} from 'mastvalve-dispatch';
import {systemClock, waitFor} from 'mastvalve-utils';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';
import {
	assignTo, decideAll, queue, ScriptedLeader, type LeaderScript,
} from './__fixtures__/scripted-leader.js';

type DispatchedWorld = World & {leader: ScriptedLeader; endpoints: ScriptedEndpoint[]; served: RunningGateway; received: Received};

const reportMs = 100;

const answer: Script = (socket, text) => {
	socket.write(formatAnswer(idOf(text), 'whole'));
};

const start = async (world: DispatchedWorld, script: LeaderScript, {isAlwaysActive = true, serve = answer} = {}): Promise<void> => {
	world.leader = new ScriptedLeader(script);
	world.endpoints = await Promise.all([startScriptedEndpoint(serve), startScriptedEndpoint(serve)]);
	world.served = new RunningGateway({dispatch: {...world.leader.options, isAlwaysActive}});
	await world.served.start(world.endpoints.map(({address}) => address));
};

After(async function (this: Partial<DispatchedWorld>) {
	if (this.endpoints) {
		this.leader?.ending.abort();
		await this.served?.stop();
		this.endpoints.forEach(endpoint => {
			endpoint.close();
		});
	}
});

Given('an entry with two endpoints, whose leader assigns each claim to {word}', async function (this: DispatchedWorld, endpoint: string) {
	await start(this, request => decideAll(request, assignTo(endpoint)));
});

Given('an entry with two endpoints, whose leader is asked only about shared services', async function (this: DispatchedWorld) {
	await start(this, request => decideAll(request, assignTo('e1')), {isAlwaysActive: false});
});

Given('an entry with two endpoints, whose leader refuses with {int} ms', async function (this: DispatchedWorld, retryAfterMs: number) {
	await start(this, request => decideAll(request, ({id}) => ({id, kind: DispatchDecisionKind.Refused, retryAfterMs})));
});

Given('an entry with two endpoints, whose leader queues each claim and assigns it to e1 after {int} ms', async function (this: DispatchedWorld, ms: number) {
	const queued: Array<{id: string; at: number}> = [];
	await start(this, request => {
		const now = systemClock.now();
		const due = queued.filter(({at}) => now >= at + ms);
		queued.push(...request.claims.map(({id}) => ({id, at: now})));
		return {decisions: [...decideAll(request, queue).decisions, ...due.map(claim => assignTo('e1')(claim))], needsRunning: false};
	});
});

Given('an entry with two endpoints, whose leader queues all claims for ever', async function (this: DispatchedWorld) {
	await start(this, request => decideAll(request, queue));
});

Given('an entry with two endpoints that break off, whose leader assigns each claim to {word}', async function (this: DispatchedWorld, endpoint: string) {
	await start(this, request => decideAll(request, assignTo(endpoint)), {
		serve(socket) {
			socket.destroy();
		},
	});
});

When('a(n) {word} request is sent', async function (this: DispatchedWorld, kind: string) {
	this.received = await this.served.call(`/${kind}/`, {headers: {'x-model': 'm'}});
	await waitFor(reportMs);
});

When('a safe request is sent, and the entry drains after {int} ms', async function (this: DispatchedWorld, ms: number) {
	const sentAt = systemClock.now();
	const receiving = this.served.call('/safe/', {headers: {'x-model': 'm'}});
	await waitFor(ms);
	const drained = this.served.gateway.drain(0);
	this.received = await receiving;
	assert.ok(systemClock.now() - sentAt < ms + reportMs);
	await drained;
	await waitFor(reportMs);
});

const countRequests = ({endpoints}: DispatchedWorld): number[] => endpoints.map(({requests}) => requests.length);

Then('it is answered with 200 by endpoint 1', function (this: DispatchedWorld) {
	assert.equal(this.received.status, 200);
	assert.deepEqual(countRequests(this), [0, 1]);
});

Then('it is answered with 200 by any endpoint', function (this: DispatchedWorld) {
	assert.equal(this.received.status, 200);
	assert.deepEqual(countRequests(this).toSorted((a, b) => a - b), [0, 1]);
});

Then('the leader has heard of a run that has completed', function (this: DispatchedWorld) {
	const kinds = this.leader.requests.flatMap(({events}) => events.map(({kind}) => kind));
	assert.deepEqual(kinds, [RunEventKind.FirstByte, RunEventKind.Completed]);
});

Then('the leader has had no calls', function (this: DispatchedWorld) {
	assert.deepEqual(this.leader.requests, []);
});

Then('the claim is given back', function (this: DispatchedWorld) {
	const [first] = this.leader.requests.flatMap(({claims}) => claims);
	assert.deepEqual(this.leader.released, [first?.id]);
});

Then('it is refused as not run, with a delay of {float} to {float} s', function (this: DispatchedWorld, least: number, most: number) {
	const {status, body, headers} = this.received;
	assert.equal(status, 503, body);
	assert.match(body, /Not run/v);
	const delay = Number(headers['retry-after']);
	assert.ok(delay >= least && delay <= most, `${delay}`);
});

Then('no endpoint has had a request', function (this: DispatchedWorld) {
	assert.deepEqual(countRequests(this), [0, 0]);
});

Then('its outcome is unknown, and it has run once', function (this: DispatchedWorld) {
	assert.equal(this.received.status, 502);
	assert.deepEqual(countRequests(this), [0, 1]);
});
