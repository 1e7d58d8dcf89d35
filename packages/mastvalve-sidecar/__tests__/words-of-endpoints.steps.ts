/**
 * Steps for endpoints that speak as mastvalve, with the entry's attempts, the sidecar's route, and a raw endpoint.
 */

import {strict as assert} from 'node:assert';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	createApp, createProgramContext, startServer, type RunningServer,
} from 'mastvalve-http';
import {
	EndpointState, LogLevel, Priority, type Endpoint,
} from 'mastvalve-types';
import {
	assumeType, collectText, HybridClock, systemClock,
} from 'mastvalve-utils';
import {Agent} from 'undici';
import {openAttempt} from '../../mastvalve-entry/src/requests/attempt.js';
import {tryEndpoints, type TryOptions} from '../../mastvalve-entry/src/requests/try-endpoints.js';
import {createDispatchAgent} from '../src/server/dispatch.js';
import {EndpointGate} from '../src/server/endpoint-gate.js';
import {createForwardHandler} from '../src/server/forward-handler.js';

type WordsWorld = World & {wordsServer: Server; wordsSidecars: RunningServer[]; wordsEndpoints: Endpoint[]; wordsAgent: Agent; runCount: number; read: string; ownHeaders: string[]};

/** Problem details as a refusal of mastvalve's has them. */
const problem = JSON.stringify({
	type: 'urn:mastvalve:problem:overloaded', title: 'x', status: 503, detail: 'x', outcome: 'not-run',
});
const maxAnswerBytes = 65_536;
const timeLimitMs = 5000;

const startEndpoint = async (world: WordsWorld, header: string): Promise<string> => {
	world.runCount = 0;
	world.wordsServer = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			world.runCount += 1;
			socket.end(`HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/problem+json\r\n${header}\r\ncontent-length: ${problem.length}\r\n\r\n${problem}`);
		});
	});
	await new Promise<void>(resolve => {
		world.wordsServer.listen(0, '127.0.0.1', resolve);
	});
	return `http://127.0.0.1:${assumeType<AddressInfo>(world.wordsServer.address()).port}`;
};

const startSidecarRoute = async (endpointUrl: string, id: string, isLeaving: boolean): Promise<{server: RunningServer; endpoint: Endpoint}> => {
	const context = createProgramContext({instance: id, failureDomain: 'a'}, LogLevel.Error);
	const app = createApp(context, () => undefined);
	const endpoint: Endpoint = {
		id, service: 'desk', failureDomain: 'a', address: '', capacity: 0, processId: 'p', incarnation: 1, state: EndpointState.Live,
	};
	app.all('/forward/*', createForwardHandler({
		context,
		gate: new EndpointGate({
			clock: systemClock, maxRunning: 2, maxQueued: 2, isReady: () => true,
		}),
		agent: createDispatchAgent(2),
		endpointUrl,
		endpointId: id,
		isEngine: false,
		maxBodyBytes: maxAnswerBytes,
		readEndpoint: () => endpoint,
		isLeaving: () => isLeaving,
		mayHold: () => true,
		acceptClaim: () => true,
	}));
	const started = await startServer(app, '127.0.0.1:0');
	const server = started._unsafeUnwrap();
	return {server, endpoint: {...endpoint, address: `http://${server.address}`}};
};

const startTwo = async (world: WordsWorld, header: string, isLeaving: boolean): Promise<void> => {
	const url = await startEndpoint(world, header);
	const started = await Promise.all(['desk-1', 'desk-2'].map(async id => startSidecarRoute(url, id, isLeaving)));
	world.wordsSidecars = started.map(({server}) => server);
	world.wordsEndpoints = started.map(({endpoint}) => endpoint);
};

Given('two sidecars of an endpoint that runs each call and answers 503 as problem details with {string}', async function (this: WordsWorld, header: string) {
	await startTwo(this, header, false);
});

Given('two sidecars of an endpoint that leaves', async function (this: WordsWorld) {
	await startTwo(this, 'x: y', true);
});

When('an entry sends it a call that must not be repeated', async function (this: WordsWorld) {
	this.wordsAgent = new Agent();
	const now = performance.now();
	const request = {
		requestId: 'r-1',
		service: 'desk',
		model: undefined,
		priority: Priority.Standard,
		deadlineAt: now + timeLimitMs,
		method: 'POST',
		path: '/loans',
		headers: {},
		body: new Uint8Array(),
		prefixes: [],
		isRepeatable: false,
		signal: new AbortController().signal,
	};
	const options = assumeType<TryOptions>({
		table: {
			listCandidates: () => this.wordsEndpoints.map(endpoint => ({endpointId: endpoint.id, endpoint})),
			recordStart: () => undefined,
			recordEnd: () => undefined,
			recordFailure: () => undefined,
		},
		budget: {takeRetry: () => true},
		clock: systemClock,
		random: () => 0,
		choose: (candidates: unknown[]): unknown => candidates[0],
		readConfiguration: () => ({}),
		recordRetry: () => undefined,
	});
	const answer = await tryEndpoints(request, options, async endpoint => openAttempt(request, {
		endpoint, agent: this.wordsAgent, hybridClock: new HybridClock(Date.now), now, resumeAfter: 0,
	}));
	if (answer.isErr()) {
		this.read = `${answer.error.code} ${answer.error.outcome}`;
		return;
	}

	const {status, headers, body} = answer.value;
	const text = await collectText(body, maxAnswerBytes);
	this.ownHeaders = Object.entries(headers).filter(([name]) => name.startsWith('mastvalve-')).map(([name, value]) => `${name}: ${value}`);
	this.read = status === 503 && text === problem ? 'the endpoint\'s answer' : `${status} ${text}`;
});

Then('the call has run {int} time(s)', function (this: WordsWorld, count: number) {
	assert.equal(this.runCount, count);
});

Then('the entry reads {string}', function (this: WordsWorld, read: string) {
	assert.equal(this.read, read);
});

Then('the headers of mastvalve on it are the sidecar\'s', function (this: WordsWorld) {
	const named = this.ownHeaders.map(header => header.replace(/^mastvalve-clock: \d{13}\.\d+$/v, 'mastvalve-clock: now'));
	assert.deepEqual(named.toSorted(), ['mastvalve-clock: now', 'mastvalve-endpoint: desk-1', 'mastvalve-load: 1;0']);
});

After(async function (this: WordsWorld) {
	await this.wordsAgent?.destroy();
	await Promise.all((this.wordsSidecars ?? []).map(async sidecar => sidecar.close()));
	this.wordsServer?.close();
});
