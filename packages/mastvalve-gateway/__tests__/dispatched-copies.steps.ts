/**
 * Steps for requests whose engines copy kept prompts, as the leader decides.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import type {DispatchDecision} from 'mastvalve-dispatch';
import type {EndpointPhase} from 'mastvalve-fleet';
import {assumeType} from 'mastvalve-utils';
import {Registry} from 'prom-client';
import {createGatewayMetrics} from '../src/server/gateway-metrics.js';
import {RunningGateway} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';
import {assignTo, decideAll, ScriptedLeader} from './__fixtures__/scripted-leader.js';

type CopyingWorld = World & {copyLeader: ScriptedLeader; copyEndpoints: ScriptedEndpoint[]; copyRun: RunningGateway; registry: Registry};
type Assignment = {endpoint: string; source?: string};

const copiedTokens = 4300;

const answer: Script = (socket, text) => {
	socket.write(formatAnswer(idOf(text), 'id: 2\ndata: 2\n\n'));
};

/** Sends one event of a stream, or nothing whole of another answer, and breaks off. */
const breakOff: Script = (socket, text) => {
	const event = 'id: 1\ndata: 1\n\n';
	const head = text.includes('/stream/') ? `HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ntransfer-encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n` : '';
	socket.write(head, () => {
		setImmediate(() => {
			socket.resetAndDestroy();
		});
	});
};

const assign = ({endpoint, source}: Assignment, id: string): DispatchDecision => ({
	...assignTo(endpoint)({id}), ...(source === undefined ? {} : {copy: {source, tokens: copiedTokens}}),
});

/** Starts an entry whose leader decides claims in this order; the last decision stands for all later ones. */
const startEntry = async (world: CopyingWorld, assignments: Assignment[]): Promise<void> => {
	let decided = 0;
	world.copyLeader = new ScriptedLeader(request => decideAll(request, ({id}) => {
		decided += 1;
		return assign(assignments[decided - 1] ?? assignments.at(-1)!, id);
	}));
	world.copyEndpoints = await Promise.all([breakOff, answer, answer].map(async script => startScriptedEndpoint(script)));
	world.copyRun = new RunningGateway({dispatch: world.copyLeader.options});
	world.registry = new Registry();
	world.copyRun.gateway.observe(createGatewayMetrics(world.registry, {
		readInFlight: () => 0, readUnreadBytes: () => 0, readBodyBytes: () => 0, readAdmission: () => ({utilization: 0, requestMs: undefined, perSecond: undefined}),
	}));
	await world.copyRun.start(world.copyEndpoints.map(({address}) => address));
};

After(async function (this: Partial<CopyingWorld>) {
	if (this.copyEndpoints) {
		this.copyLeader?.ending.abort();
		await this.copyRun?.stop();
		this.copyEndpoints.forEach(endpoint => {
			endpoint.close();
		});
	}
});

Given('an entry with three endpoints, whose leader assigns {word} with a copy from {word}', async function (this: CopyingWorld, endpoint: string, source: string) {
	await startEntry(this, [{endpoint, source}]);
});

Given('an entry with three endpoints, whose leader assigns {word} without a copy', async function (this: CopyingWorld, endpoint: string) {
	await startEntry(this, [{endpoint}]);
});

Given('an entry with three endpoints, whose leader assigns {word}, which breaks off, and then {word} with a copy from {word}', async function (this: CopyingWorld, first: string, endpoint: string, source: string) {
	await startEntry(this, [{endpoint: first}, {endpoint, source}]);
});

Given('{word} is known to be {word}', function (this: CopyingWorld, id: string, phase: string) {
	this.copyRun.view.findEndpoint(id)!.phase = assumeType<EndpointPhase>(phase);
});

When('a {string} request is dispatched', async function (this: CopyingWorld, kind: string) {
	const {status, isWhole} = await this.copyRun.call(`/${kind}/`, {headers: {'x-model': 'm'}});
	assert.deepEqual({status, isWhole}, {status: 200, isWhole: true});
});

const readSource = (text: string | undefined): string | undefined => /x-copy-from: (?<address>\S+)/iv.exec(text ?? '')?.groups?.address;

Then('endpoint {int} was told to copy from e{int}', function (this: CopyingWorld, index: number, source: number) {
	assert.equal(readSource(this.copyEndpoints[index]!.requests[0]), this.copyEndpoints[source]!.address);
});

Then('endpoint {int} was told to copy from e{int}, after event {int}', function (this: CopyingWorld, index: number, source: number, event: number) {
	const [text] = this.copyEndpoints[index]!.requests;
	assert.equal(readSource(text), this.copyEndpoints[source]!.address);
	assert.match(text!, new RegExp(`x-resume: ${event}`, 'iv'));
});

Then('endpoint {int} was told of no source', function (this: CopyingWorld, index: number) {
	const [text] = this.copyEndpoints[index]!.requests;
	assert.ok(text !== undefined);
	assert.equal(readSource(text), undefined);
});

Then('the log line of the dispatch names {word} and {int} tokens', function (this: CopyingWorld, source: string, tokens: number) {
	const line = this.copyRun.lines.map(text => assumeType<{kind: string; decision: DispatchDecision}>(JSON.parse(text))).find(({kind}) => kind === 'request.dispatched');
	assert.deepEqual(line && 'copy' in line.decision && line.decision.copy, {source, tokens});
});

Then('{int} copies of {int} tokens are counted as {string}', async function (this: CopyingWorld, copies: number, tokens: number, outcome: string) {
	const text = await this.registry.metrics();
	const readCounter = (name: string): number => Number(text.split('\n').find(line => line.startsWith(`${name} `))?.split(' ')[1] ?? 0);
	assert.equal(readCounter(`mastvalve_prompt_copies_total{outcome="${outcome}"}`), copies);
	assert.equal(readCounter('mastvalve_prompt_copied_tokens_total'), tokens);
});
