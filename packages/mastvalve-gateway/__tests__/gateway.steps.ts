/**
 * Steps for requests through a gateway.
 */

import {strict as assert} from 'node:assert';
import type {Socket} from 'node:net';
import {
	After, Before, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {WeightSource} from 'mastvalve-fleet';
import {waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {resetConnection} from '../../../features/support/reset-connection.js';
import {
	chooseEndpoint, EndpointTracker, FirstByteTimes, ServiceRetryBudget,
} from '../src/index.js';
import {createEndpoint, RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

/** How long requests are sent after connections have stopped answering, ms. */
const loadDurationMs = 1500;

type GatewayWorld = World & {
	scripted: ScriptedEndpoint[];
	gatewayRun: RunningGateway;
	received: Received[];
	/** Time from the first request after connections stopped answering to the first answer, ms. */
	servedAfterMs: number;
};

/** Sends answers that scripted endpoints hold back until a test releases them. */
const heldAnswers: Array<() => void> = [];

/** Answers that are sent once more, in the place of the next answer on their connection. */
const surplusAnswers = new WeakMap<Socket, string>();

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

const scripts: Record<string, Script> = {
	whole(socket, text) {
		socket.write(formatAnswer(idOf(text), 'whole'));
	},
	'without a length, then closes'(socket, text) {
		socket.end(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\n\r\nhalf`);
	},
	'without a length, then resets'(socket, text) {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\n\r\nhalf`, () => {
			setImmediate(() => {
				resetConnection(socket);
			});
		});
	},
	'too short, then closes'(socket, text) {
		socket.end(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: 100\r\n\r\nhalf`);
	},
	'complete, followed by a surplus answer'(socket, text) {
		socket.write(formatAnswer(idOf(text), idOf(text)) + formatAnswer(idOf(text), 'surplus'));
	},
	'with another request\'s id'(socket) {
		socket.write(formatAnswer('other', 'other'));
	},
	'the refusal of another request, and runs it'(socket, text) {
		socket.write(formatAnswer('other', '', '503 Service Unavailable', 'x-not-run: 1\r\n') + formatAnswer(idOf(text), 'late'));
	},
	'that another request is misdirected, and runs it'(socket, text) {
		socket.write(formatAnswer('other', '', '421 Misdirected Request', 'x-not-run: 1\r\nx-misdirected: 1\r\nx-endpoint: successor\r\n') + formatAnswer(idOf(text), 'late'));
	},
	'with another request\'s id and a load'(socket) {
		socket.write(formatAnswer('other', 'other', '200 OK', 'x-load: 4,7,4\r\n'));
	},
	'in the name of another endpoint that has a load'(socket, text) {
		socket.write(formatAnswer(idOf(text), '', '421 Misdirected Request', 'x-not-run: 1\r\nx-misdirected: 1\r\nx-endpoint: successor\r\nx-load: 4,7,4\r\n'));
	},
	'a refusal that names no request'(socket) {
		socket.write('HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n');
	},
	'its first request with a refusal, and on the same connection the next one with a copy of it before the answer'(socket, text, requestNumber) {
		const refusal = formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n');
		if (requestNumber === 1) {
			socket.write(refusal, () => {
				surplusAnswers.set(socket, refusal);
			});
			return;
		}

		socket.write((surplusAnswers.get(socket) ?? '') + formatAnswer(idOf(text), 'whole'));
	},
	'not run'(socket, text) {
		socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n'));
	},
	'503 without the not-run header'(socket, text) {
		socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable'));
	},
	'nothing, then resets'(socket) {
		resetConnection(socket);
	},
	nothing: () => undefined,
	'not run when the test releases it'(socket, text) {
		heldAnswers.push(() => {
			socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n'));
		});
	},
	'its head, and the rest when the test releases it'(socket, text) {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: 4\r\n\r\nha`);
		heldAnswers.push(() => {
			socket.write('lf');
		});
	},
	'two events and a partial one, then resets'(socket, text) {
		const events = `${event(1)}${event(2)}id: 3\nda`;
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ntransfer-encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`, () => {
			setImmediate(() => {
				resetConnection(socket);
			});
		});
	},
	'the following events'(socket, text) {
		const after = Number(/x-resume: (?<after>\d+)/iv.exec(text)?.groups?.after ?? 0);
		socket.write(formatAnswer(idOf(text), [1, 2, 3, 4].filter(id => id > after).map(id => event(id)).join('')));
	},
};

Before(function (this: GatewayWorld) {
	this.scripted = [];
	this.received = [];
});

After(async function (this: GatewayWorld) {
	this.scripted.forEach(endpoint => {
		endpoint.close();
	});

	await this.gatewayRun?.stop();
});

const start = async (world: GatewayWorld): Promise<void> => {
	world.gatewayRun = new RunningGateway();
	await world.gatewayRun.start(world.scripted.map(({address}) => address));
};

Given('an endpoint that answers {string}', async function (this: GatewayWorld, name: string) {
	const script = scripts[name];
	assert.ok(script, `unknown script "${name}"`);
	this.scripted.push(await startScriptedEndpoint(script));
});

When('a caller sends a/an {string} request', async function (this: GatewayWorld, kind: string) {
	await start(this);
	this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'body'}));
});

When('a caller sends {int} {string} requests sequentially', async function (this: GatewayWorld, count: number, kind: string) {
	await start(this);
	await Array.from({length: count}).reduce<Promise<void>>(async before => {
		await before;
		this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'body'}));
	}, Promise.resolve());
});

When('a caller sends an {string} request with a body of {int} bytes', async function (this: GatewayWorld, kind: string, bytes: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'x'.repeat(bytes)}));
});

When('a caller sends an {string} request with a deadline of {int} ms', async function (this: GatewayWorld, kind: string, deadlineMs: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'body', headers: {'x-left': String(deadlineMs)}}));
});

When('a caller sends an {string} request before the entry has the newest configuration', async function (this: GatewayWorld, kind: string) {
	this.gatewayRun = new RunningGateway();
	await this.gatewayRun.listen();
	const call = this.gatewayRun.call(`/${kind}/x`, {body: 'body'});
	await waitUntil('the request has arrived', async () => this.gatewayRun.gateway.inFlight === 1);
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address));
	this.received.push(await call);
});

When('a caller sends a request with a deadline of {int} ms for a model that takes {int} ms to load', async function (this: GatewayWorld, deadlineMs: number, _loadMs: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': String(deadlineMs)}}));
});

When('a caller sends a request with an objective of 8 s and a deadline of {int} ms for a model that takes 9 s to load', async function (this: GatewayWorld, deadlineMs: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call('/digest/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': String(deadlineMs)}}));
});

When('a caller sends a request with a deadline of {int} ms for a model that takes {int} ms to load, and it is loaded after the request is held', async function (this: GatewayWorld, deadlineMs: number, _loadMs: number) {
	await start(this);
	const call = this.gatewayRun.call('/patient/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': String(deadlineMs)}});
	await waitUntil('the request is held', async () => this.gatewayRun.logged.includes('request.held'));
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address), ['m', 'rare']);
	this.received.push(await call);
});

When('a request waits for a model that no endpoint holds, and the entry starts to drain', async function (this: GatewayWorld) {
	await start(this);
	const call = this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'absent'}});
	await waitUntil('the request waits', async () => this.gatewayRun.logged.includes('request.waits'));
	void this.gatewayRun.gateway.drain(0);
	this.received.push(await call);
});

When('a request is pipelined behind an answer in progress after the entry has stopped accepting requests', async function (this: GatewayWorld) {
	await start(this);
	const {gateway} = this.gatewayRun;
	const caller = this.gatewayRun.connect();
	caller.send('/unsafe/first');
	await waitUntil('the first answer has started', async () => caller.readText().includes('ha'));
	const drained = gateway.drain(0);
	await waitUntil('the entry accepts no more requests', async () => !gateway.isAccepting);
	caller.send('/unsafe/second');
	await waitUntil('the second request has arrived', async () => gateway.inFlight === 2);
	heldAnswers.splice(0).forEach(send => {
		send();
	});
	await drained;
	const [, second = ''] = caller.readText().split(/(?<=half)/v);
	this.received.push({
		status: Number(second.slice('HTTP/1.1 '.length).slice(0, 3)), body: second, isWhole: true, headers: {},
	});
});

/** Time in which everything sent on loopback arrives, ms. */
const settleMs = 150;

When('a caller sends a request before the entry has the newest configuration, and disconnects', async function (this: GatewayWorld) {
	this.gatewayRun = new RunningGateway();
	await this.gatewayRun.listen();
	const caller = this.gatewayRun.connect();
	caller.send('/safe/x');
	await waitUntil('the request has arrived', async () => this.gatewayRun.gateway.inFlight === 1);
	caller.disconnect();
	await waitUntil('the entry has detected that the caller disconnected', async () => this.gatewayRun.gateway.inFlight === 0);
});

Then('no endpoint receives the request when the entry has the configuration', async function (this: GatewayWorld) {
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address));
	await waitFor(settleMs);
	assert.equal(this.scripted[0]?.requests.length, 0);
});

When('a caller disconnects after it has pipelined a second request behind an unanswered one', async function (this: GatewayWorld) {
	await start(this);
	const caller = this.gatewayRun.connect();
	caller.send('/safe/first');
	caller.send('/safe/second');
	await waitUntil('both are running', async () => this.scripted[0]?.requests.length === 2);
	caller.disconnect();
});

Then('no request keeps running at the endpoint', async function (this: GatewayWorld) {
	await waitUntil('all connections to the endpoint are closed', async () => this.scripted[0]?.open() === 0);
});

When('a caller disconnects while two of its requests wait for a model, which is loaded after that', async function (this: GatewayWorld) {
	await start(this);
	const caller = this.gatewayRun.connect();
	caller.send('/patient/first', 'x-model: rare\r\nx-left: 60000\r\n');
	caller.send('/patient/second', 'x-model: rare\r\nx-left: 60000\r\n');
	await waitUntil('both wait', async () => this.gatewayRun.logged.filter(kind => kind === 'request.waits').length === 2);
	caller.disconnect();
	await waitFor(settleMs);
});

Then('no endpoint receives the requests when the model is loaded', async function (this: GatewayWorld) {
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address), ['rare']);
	await waitFor(settleMs);
	assert.equal(this.scripted[0]?.requests.length, 0);
});

Given('an endpoint that answers {string} when the test releases it', async function (this: GatewayWorld, name: string) {
	this.scripted.push(await startScriptedEndpoint(scripts[`${name} when the test releases it`]!));
});

When('a caller disconnects while its pipelined second request is in flight at the first endpoint, which then refuses it', async function (this: GatewayWorld) {
	await start(this);
	const [first, second] = this.scripted;
	const caller = this.gatewayRun.connect();
	caller.send('/safe/first');
	caller.send('/safe/second');
	await waitUntil('both are in flight', async () => first!.requests.length + second!.requests.length === 2);
	second!.requests.splice(0);
	caller.disconnect();
	await waitFor(settleMs);
	heldAnswers.splice(0).forEach(send => {
		send();
	});
});

Then('the second endpoint receives no request', async function (this: GatewayWorld) {
	await waitFor(settleMs);
	assert.equal(this.scripted[1]?.requests.length, 0);
});

Given('an endpoint whose connections stop answering after their first answer, while new connections work', async function (this: GatewayWorld) {
	const answered = new Set<Socket>();
	this.scripted.push(await startScriptedEndpoint((socket, text) => {
		if (!answered.has(socket)) {
			answered.add(socket);
			// The delay makes concurrent requests use a connection each.
			setTimeout(() => {
				socket.write(formatAnswer(idOf(text), 'whole'));
			}, settleMs);
		}
	}));
});

When('{int} concurrent requests are answered, and a later one stays unanswered', async function (this: GatewayWorld, count: number) {
	await start(this);
	const answers = await Promise.all(Array.from({length: count}, async () => this.gatewayRun.call('/safe/x')));
	assert.deepEqual(answers.map(({status}) => status), Array.from({length: count}, () => 200));
	void this.gatewayRun.call('/safe/x');
	await waitUntil('the idle connections are closed', async () => this.scripted[0]!.open() === 1);
});

When('{int} concurrent requests are answered, and then one arrives every {int} ms', async function (this: GatewayWorld, count: number, pauseMs: number) {
	await start(this);
	const answers = await Promise.all(Array.from({length: count}, async () => this.gatewayRun.call('/safe/x')));
	assert.deepEqual(answers.map(({status}) => status), Array.from({length: count}, () => 200));
	const startedAt = performance.now();
	this.servedAfterMs = Number.POSITIVE_INFINITY;
	await Array.from({length: Math.ceil(loadDurationMs / pauseMs)}).reduce<Promise<void>>(async before => {
		await before;
		void this.gatewayRun.call('/safe/x').then(({status}) => {
			this.servedAfterMs = Math.min(this.servedAfterMs, status === 200 ? performance.now() - startedAt : Number.POSITIVE_INFINITY);
		});
		await waitFor(pauseMs);
	}, Promise.resolve());
});

Then('the first answer to these arrives within {int} ms of the first of them', function (this: GatewayWorld, limitMs: number) {
	this.attach(`served again after ${Math.round(this.servedAfterMs)} ms`);
	assert.ok(this.servedAfterMs <= limitMs, `${this.servedAfterMs} ms`);
});

Then('the next request succeeds', async function (this: GatewayWorld) {
	const {status} = await this.gatewayRun.call('/safe/x');
	assert.equal(status, 200);
});

Given('an endpoint that no longer listens', async function (this: GatewayWorld) {
	const endpoint = await startScriptedEndpoint(() => undefined);
	endpoint.close();
	this.scripted.push(endpoint);
});

When('a caller requests a model that only the endpoint without a listener holds, and it is loaded at another endpoint', async function (this: GatewayWorld) {
	await start(this);
	const addresses = this.scripted.map(({address}) => address);
	this.gatewayRun.setEndpoints(addresses, ['m']);
	const held = addresses.map((_, index) => (index === 1 ? ['rare'] : ['m']));
	this.gatewayRun.setHoldings(addresses, held);
	const call = this.gatewayRun.call('/patient/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': '60000'}});
	await waitUntil('the request waits', async () => this.gatewayRun.logged.includes('request.waits'));
	this.gatewayRun.setHoldings(addresses, [['m', 'rare'], ['rare']]);
	this.received.push(await call);
});

When('a request has found that the last three endpoints, which alone hold its model, do not listen, and another request for the model arrives', async function (this: GatewayWorld) {
	await start(this);
	const addresses = this.scripted.map(({address}) => address);
	this.gatewayRun.setHoldings(addresses, [['m'], ['rare'], ['rare'], ['rare']]);
	const options = {body: 'body', headers: {'x-model': 'rare', 'x-left': '60000'}};
	await this.gatewayRun.call('/patient/x', options);
	const other = this.gatewayRun.call('/patient/x', options);
	await waitFor(settleMs);
	this.gatewayRun.setHoldings(addresses, [['m', 'rare'], ['rare'], ['rare'], ['rare']]);
	this.received.push(await other);
});

Then('the other request waits, and gets status {int} when the model is loaded at another endpoint', function (this: GatewayWorld, status: number) {
	assert.deepEqual(this.received.map(received => received.status), [status]);
	assert.equal(this.gatewayRun.logged.includes('request.waits'), true);
});

Then('the demand report lists the absent endpoint', function (this: GatewayWorld) {
	assert.deepEqual(this.gatewayRun.demand.takeReport().absent, ['e1']);
});

When('a request is held for a load that is then cancelled', async function (this: GatewayWorld) {
	await start(this);
	const addresses = this.scripted.map(({address}) => address);
	this.gatewayRun.setEndpoints(addresses, ['m'], {model: 'rare', expectedMs: 1000, source: WeightSource.Disk});
	const call = this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': '5000'}});
	await waitUntil('the request is held', async () => this.gatewayRun.logged.includes('request.held'));
	this.gatewayRun.setEndpoints(addresses);
	this.received.push(await call);
});

Then('it is refused before half of its timeout has passed', function (this: GatewayWorld) {
	assert.ok(this.gatewayRun.logged.includes('request.given-up'));
	assert.equal(this.gatewayRun.logged.includes('request.expired'), false);
	assert.ok(this.gatewayRun.longestMs < 1000);
});

Then('it is refused within {int} ms', function (this: GatewayWorld, ms: number) {
	assert.ok(this.gatewayRun.logged.includes('request.given-up'));
	assert.ok(this.gatewayRun.longestMs < ms, `${this.gatewayRun.longestMs}`);
});

Then('the caller gets status {int} with the complete body {string}', function (this: GatewayWorld, status: number, body: string) {
	assert.deepEqual(this.received.map(received => [received.status, received.body, received.isWhole]), [[status, body, true]]);
});

Then('the caller gets status {int} with the complete events {string}', function (this: GatewayWorld, status: number, ids: string) {
	const [received] = this.received;
	assert.equal(received?.status, status);
	assert.equal(received.isWhole, true);
	assert.equal(received.body, ids.split(' ').map(id => event(Number(id))).join(''));
});

Then('the caller gets status {int} with the code {string}', function (this: GatewayWorld, status: number, code: string) {
	assert.equal(this.received[0]?.status, status);
	assert.match(this.received[0].body, new RegExp(code, 'v'));
});

Then('the caller gets no complete answer', function (this: GatewayWorld) {
	assert.equal(this.received[0]?.status === 200 && this.received[0].isWhole, false);
});

Then('each request gets its own answer', function (this: GatewayWorld) {
	assert.deepEqual(this.received.map(({body}) => body), ['r1', 'r2', 'r3']);
});

Then('the endpoint received {int} request(s)', function (this: GatewayWorld, count: number) {
	assert.equal(this.scripted[0]?.requests.length, count);
});

When('a caller sends a request for a model of the endpoint', async function (this: GatewayWorld) {
	await start(this);
	this.received.push(await this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'm'}}));
});

Then('the entry knows neither a time of first bytes of that model nor a load of that endpoint', function (this: GatewayWorld) {
	assert.equal(this.gatewayRun.firstByteTimes.getPrefillMsPerToken('m'), new FirstByteTimes().getPrefillMsPerToken('m'));
	assert.equal(this.gatewayRun.tracker.getOrCreate('e0').load, undefined);
});

Then('the callers get the statuses {string}', function (this: GatewayWorld, statuses: string) {
	assert.equal(this.received.map(({status}) => status).join(' '), statuses);
});

Then('the endpoint received {int} requests over {int} connections', function (this: GatewayWorld, requests: number, connections: number) {
	assert.equal(this.scripted[0]?.requests.length, requests);
	assert.equal(this.scripted[0].connections(), connections);
});

When('{int} callers each connect and send a request', async function (this: GatewayWorld, count: number) {
	await start(this);
	this.received = await Promise.all(Array.from({length: count}, async () => this.gatewayRun.callAnew('/safe/x')));
});

Then('all callers get status {int}', function (this: GatewayWorld, status: number) {
	assert.equal(this.received.every(received => received.status === status), true);
});

type LearningWorld = World & {firstByteTimes: FirstByteTimes; tracker: EndpointTracker; now: number};

/** Number of requests behind an estimate. */
const learningRequests = 60;

Given('engines with a time to first byte of {int} ms, and {int} in {int} answers delayed by {int} ms', function (this: LearningWorld, firstByteMs: number, late: number, outOf: number, delayMs: number) {
	this.firstByteTimes = new FirstByteTimes();
	Array.from({length: learningRequests}).forEach((_, index) => {
		this.firstByteTimes.record('m', 1000, firstByteMs + (index % outOf < late ? delayMs : 0));
	});
});

Given('engines that prefill {int} tokens per ms, and prompts of which {int} in {int} have {int} tokens and the others {int}', function (this: LearningWorld, rate: number, typical: number, outOf: number, tokens: number, others: number) {
	this.firstByteTimes = new FirstByteTimes();
	Array.from({length: learningRequests * 10}).forEach((_, index) => {
		const prompt = index % outOf < typical ? tokens : others;
		this.firstByteTimes.record('m', prompt, prompt / rate);
	});
});

Then('an entry estimates about {int} ms after {int} requests', function (this: LearningWorld, firstByteMs: number, _requests: number) {
	const learned = this.firstByteTimes.getFirstByteMs('m');
	assert.ok(learned > firstByteMs * 0.6 && learned < firstByteMs * 1.6, `${learned}`);
});

Given('two engines with equal load, of which one started its last answers {int} ms late', function (this: LearningWorld, lateMs: number) {
	this.now = 0;
	this.tracker = new EndpointTracker(() => this.now);
	this.tracker.recordStartDelay('late', lateMs);
	this.tracker.recordStartDelay('late', lateMs);
});

/** Chooses between the two engines; `random` has the number added to the cost of each. */
const chooseEngine = ({tracker, now}: LearningWorld, random: number[]): string | undefined =>
	chooseEndpoint({
		endpoints: ['late', 'other'].map(id => createEndpoint(id)), model: undefined, adapter: undefined, failureDomain: 'a', attemptedIds: new Set(), permitRetryAt: new Map(), isLimited: () => false, limitedProbeMs: Number.POSITIVE_INFINITY, now, getObservations: id => tracker.getOrCreate(id), random: () => random.shift() ?? 0, firstByteMs: 100, prefillMsPerToken: 0.1,
	})?.id;

Then('the other one is chosen, and either of them {int} ms later', function (this: LearningWorld, laterMs: number) {
	assert.equal(chooseEngine(this, [0, 1]), 'other');
	this.now = laterMs;
	assert.equal(chooseEngine(this, [0, 1]), 'late');
	assert.equal(chooseEngine(this, [1, 0]), 'other');
});

type RetryWorld = World & {allowedRetries: number; grantedRetries: number};

const retryWindowMs = 10_000;
/** Retries that one entry requests, more than any share. */
const requestedRetries = 300;

Given('operators allow {int} retries in a window in addition to a share of the requests', function (this: RetryWorld, count: number) {
	this.allowedRetries = count;
});

When('{int} entry/entries receives/receive one request each, and every attempt fails', function (this: RetryWorld, entries: number) {
	const granted = Array.from({length: entries}, () => {
		const budget = new ServiceRetryBudget({
			ratio: 0.2, slack: this.allowedRetries, windowMs: retryWindowMs,
		}, () => 0, () => entries);
		budget.recordRequest('s');
		return Array.from({length: requestedRetries}).filter(() => budget.takeRetry('s')).length;
	});
	this.grantedRetries = granted.reduce((sum, count) => sum + count, 0);
});

Then('at most {int} retries are made in total', function (this: RetryWorld, limit: number) {
	assert.ok(this.grantedRetries <= limit, `${this.grantedRetries} retries`);
});
