/**
 * Steps of requests through a gateway.
 */

import {strict as assert} from 'node:assert';
import type {Socket} from 'node:net';
import {
	After, Before, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {WeightSource} from 'mastvalve-fleet';
import {assumeType, waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {
	chooseEndpoint, EndpointTracker, FirstByteTimes, ServiceRetryBudget,
} from '../src/index.js';
import {createEndpoint, RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type Script, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

/** How long requests go on coming after a silence, ms. */
const silenceLimitMs = 1500;

type GatewayWorld = World & {
	scripted: ScriptedEndpoint[];
	gatewayRun: RunningGateway;
	received: Received[];
	/** Time from the first request after a silence to the first answer, ms. */
	servedAfterMs: number;
};

/** Resets a connection at once; `resetAndDestroy` would close it properly first. */
const reset = (socket: Socket): void => {
	assumeType<{_handle: {reset: (done: () => void) => void}}>(socket)._handle.reset(() => {
		socket.destroy();
	});
};

/** What scripted endpoints hold back until a test asks for it. */
const releases: Array<() => void> = [];

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
				reset(socket);
			});
		});
	},
	'too short, then closes'(socket, text) {
		socket.end(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: 100\r\n\r\nhalf`);
	},
	'whole, with a surplus answer behind'(socket, text) {
		socket.write(formatAnswer(idOf(text), idOf(text)) + formatAnswer(idOf(text), 'surplus'));
	},
	'with another request\'s id'(socket) {
		socket.write(formatAnswer('other', 'other'));
	},
	'not run'(socket, text) {
		socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n'));
	},
	'503 without a promise'(socket, text) {
		socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable'));
	},
	'nothing, then resets'(socket) {
		reset(socket);
	},
	nothing: () => undefined,
	'not run when asked for'(socket, text) {
		releases.push(() => {
			socket.write(formatAnswer(idOf(text), '', '503 Service Unavailable', 'x-not-run: 1\r\n'));
		});
	},
	'its head, then the rest when asked for'(socket, text) {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: 4\r\n\r\nha`);
		releases.push(() => {
			socket.write('lf');
		});
	},
	'two events and a piece, then resets'(socket, text) {
		const events = `${event(1)}${event(2)}id: 3\nda`;
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ntransfer-encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`, () => {
			setImmediate(() => {
				reset(socket);
			});
		});
	},
	'the events that follow'(socket, text) {
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
	assert.ok(script, `there is no script "${name}"`);
	this.scripted.push(await startScriptedEndpoint(script));
});

When('a caller sends a/an {string} request', async function (this: GatewayWorld, kind: string) {
	await start(this);
	this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'body'}));
});

When('a caller sends {int} {string} requests one after another', async function (this: GatewayWorld, count: number, kind: string) {
	await start(this);
	await Array.from({length: count}).reduce<Promise<void>>(async before => {
		await before;
		this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'body'}));
	}, Promise.resolve());
});

When('a caller sends an {string} request with {int} bytes', async function (this: GatewayWorld, kind: string, bytes: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'x'.repeat(bytes)}));
});

When('a caller sends an {string} request with {int} ms left', async function (this: GatewayWorld, kind: string, leftMs: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call(`/${kind}/x`, {body: 'body', headers: {'x-left': String(leftMs)}}));
});

When('a caller sends an {string} request before the entry knows the newest configuration', async function (this: GatewayWorld, kind: string) {
	this.gatewayRun = new RunningGateway();
	await this.gatewayRun.listen();
	const call = this.gatewayRun.call(`/${kind}/x`, {body: 'body'});
	await waitUntil('the request is there', async () => this.gatewayRun.gateway.inFlight === 1);
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address));
	this.received.push(await call);
});

When('a caller with {int} ms left asks for a model that takes {int} ms to load', async function (this: GatewayWorld, leftMs: number, _loadMs: number) {
	await start(this);
	this.received.push(await this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': String(leftMs)}}));
});

When('a caller with {int} ms left asks for a model that takes {int} ms to load, and it is loaded after the time of decision', async function (this: GatewayWorld, leftMs: number, _loadMs: number) {
	await start(this);
	const call = this.gatewayRun.call('/patient/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': String(leftMs)}});
	await waitUntil('the request was decided on', async () => this.gatewayRun.logged.includes('request.held'));
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address), ['m', 'rare']);
	this.received.push(await call);
});

When('a caller\'s request waits for a model that nobody holds and the entry begins to stop', async function (this: GatewayWorld) {
	await start(this);
	const call = this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'absent'}});
	await waitUntil('the request waits', async () => this.gatewayRun.logged.includes('request.waits'));
	void this.gatewayRun.gateway.drain(0);
	this.received.push(await call);
});

When('a request comes behind an answer in progress after the entry has stopped taking requests', async function (this: GatewayWorld) {
	await start(this);
	const {gateway} = this.gatewayRun;
	const caller = this.gatewayRun.connect();
	caller.send('/unsafe/first');
	await waitUntil('the first answer has begun', async () => caller.text().includes('ha'));
	const drained = gateway.drain(0);
	await waitUntil('the entry takes no more', async () => !gateway.isAccepting);
	caller.send('/unsafe/second');
	await waitUntil('the second request is there', async () => gateway.inFlight === 2);
	releases.splice(0).forEach(release => {
		release();
	});
	await drained;
	const [, second = ''] = caller.text().split(/(?<=half)/v);
	this.received.push({
		status: Number(second.slice('HTTP/1.1 '.length).slice(0, 3)), body: second, isWhole: true, headers: {},
	});
});

/** Long enough for everything on loopback to arrive, ms. */
const settleMs = 150;

When('a caller sends a request before the entry knows the newest configuration and leaves', async function (this: GatewayWorld) {
	this.gatewayRun = new RunningGateway();
	await this.gatewayRun.listen();
	const caller = this.gatewayRun.connect();
	caller.send('/safe/x');
	await waitUntil('the request is there', async () => this.gatewayRun.gateway.inFlight === 1);
	caller.leave();
	await waitUntil('the entry knows that the caller left', async () => this.gatewayRun.gateway.inFlight === 0);
});

Then('nothing of it reaches an endpoint when the entry knows the configuration', async function (this: GatewayWorld) {
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address));
	await waitFor(settleMs);
	assert.equal(this.scripted[0]?.requests.length, 0);
});

When('a caller leaves after its second request came behind one that is not answered', async function (this: GatewayWorld) {
	await start(this);
	const caller = this.gatewayRun.connect();
	caller.send('/safe/first');
	caller.send('/safe/second');
	await waitUntil('both run', async () => this.scripted[0]?.requests.length === 2);
	caller.leave();
});

Then('no run goes on at the endpoint', async function (this: GatewayWorld) {
	await waitUntil('all connections to the endpoint are closed', async () => this.scripted[0]?.open() === 0);
});

When('a caller leaves whose two requests wait for a model that is loaded after that', async function (this: GatewayWorld) {
	await start(this);
	const caller = this.gatewayRun.connect();
	caller.send('/patient/first', 'x-model: rare\r\nx-left: 60000\r\n');
	caller.send('/patient/second', 'x-model: rare\r\nx-left: 60000\r\n');
	await waitUntil('both wait', async () => this.gatewayRun.logged.filter(kind => kind === 'request.waits').length === 2);
	caller.leave();
	await waitFor(settleMs);
});

Then('nothing of it reaches an endpoint when the model is there', async function (this: GatewayWorld) {
	this.gatewayRun.setEndpoints(this.scripted.map(({address}) => address), ['rare']);
	await waitFor(settleMs);
	assert.equal(this.scripted[0]?.requests.length, 0);
});

Given('an endpoint that answers {string} when asked for', async function (this: GatewayWorld, name: string) {
	this.scripted.push(await startScriptedEndpoint(scripts[`${name} when asked for`]!));
});

When('a caller leaves while its second request behind another one is tried at the first endpoint, which then refuses it', async function (this: GatewayWorld) {
	await start(this);
	const [first, second] = this.scripted;
	const caller = this.gatewayRun.connect();
	caller.send('/safe/first');
	caller.send('/safe/second');
	await waitUntil('both are tried', async () => first!.requests.length + second!.requests.length === 2);
	second!.requests.splice(0);
	caller.leave();
	await waitFor(settleMs);
	releases.splice(0).forEach(release => {
		release();
	});
});

Then('the second endpoint gets no request', async function (this: GatewayWorld) {
	await waitFor(settleMs);
	assert.equal(this.scripted[1]?.requests.length, 0);
});

Given('an endpoint whose connections go silent after their first answer, while new ones work', async function (this: GatewayWorld) {
	const answered = new Set<Socket>();
	this.scripted.push(await startScriptedEndpoint((socket, text) => {
		if (!answered.has(socket)) {
			answered.add(socket);
			// Held for a moment, so that requests that come together need a connection each.
			setTimeout(() => {
				socket.write(formatAnswer(idOf(text), 'whole'));
			}, settleMs);
		}
	}));
});

When('{int} requests were answered together, and one after them is not answered for a while', async function (this: GatewayWorld, count: number) {
	await start(this);
	const answers = await Promise.all(Array.from({length: count}, async () => this.gatewayRun.call('/safe/x')));
	assert.deepEqual(answers.map(({status}) => status), Array.from({length: count}, () => 200));
	void this.gatewayRun.call('/safe/x');
	await waitUntil('the resting connections are closed', async () => this.scripted[0]!.open() === 1);
});

When('{int} requests were answered together, and one comes each {int} ms after them', async function (this: GatewayWorld, count: number, pauseMs: number) {
	await start(this);
	const answers = await Promise.all(Array.from({length: count}, async () => this.gatewayRun.call('/safe/x')));
	assert.deepEqual(answers.map(({status}) => status), Array.from({length: count}, () => 200));
	const startedAt = performance.now();
	this.servedAfterMs = Number.POSITIVE_INFINITY;
	await Array.from({length: Math.ceil(silenceLimitMs / pauseMs)}).reduce<Promise<void>>(async before => {
		await before;
		void this.gatewayRun.call('/safe/x').then(({status}) => {
			this.servedAfterMs = Math.min(this.servedAfterMs, status === 200 ? performance.now() - startedAt : Number.POSITIVE_INFINITY);
		});
		await waitFor(pauseMs);
	}, Promise.resolve());
});

Then('the first of these that is answered has its answer within {int} ms of the first of all', function (this: GatewayWorld, limitMs: number) {
	this.attach(`served again after ${Math.round(this.servedAfterMs)} ms`);
	assert.ok(this.servedAfterMs <= limitMs, `${this.servedAfterMs} ms`);
});

Then('the next request is answered at once', async function (this: GatewayWorld) {
	const {status} = await this.gatewayRun.call('/safe/x');
	assert.equal(status, 200);
});

Given('an endpoint where nobody listens any more', async function (this: GatewayWorld) {
	const endpoint = await startScriptedEndpoint(() => undefined);
	endpoint.close();
	this.scripted.push(endpoint);
});

When('a caller asks for a model that only the endpoint without listener holds, and it is loaded elsewhere', async function (this: GatewayWorld) {
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

When('a caller has found that nobody listens at the last three, which alone hold its model, and another one asks for it', async function (this: GatewayWorld) {
	await start(this);
	const addresses = this.scripted.map(({address}) => address);
	this.gatewayRun.setHoldings(addresses, [['m'], ['rare'], ['rare'], ['rare']]);
	const ask = {body: 'body', headers: {'x-model': 'rare', 'x-left': '60000'}};
	await this.gatewayRun.call('/patient/x', ask);
	const other = this.gatewayRun.call('/patient/x', ask);
	await waitFor(settleMs);
	this.gatewayRun.setHoldings(addresses, [['m', 'rare'], ['rare'], ['rare'], ['rare']]);
	this.received.push(await other);
});

Then('the other one waits, and gets status {int} when the model is loaded elsewhere', function (this: GatewayWorld, status: number) {
	assert.deepEqual(this.received.map(received => received.status), [status]);
	assert.equal(this.gatewayRun.logged.includes('request.waits'), true);
});

Then('control was told which endpoint is absent', function (this: GatewayWorld) {
	assert.deepEqual(this.gatewayRun.demand.takeReport().absent, ['e1']);
});

When('a caller\'s request is held for a load that is then given up', async function (this: GatewayWorld) {
	await start(this);
	const addresses = this.scripted.map(({address}) => address);
	this.gatewayRun.setEndpoints(addresses, ['m'], {model: 'rare', expectedMs: 1000, source: WeightSource.Disk});
	const call = this.gatewayRun.call('/unsafe/x', {body: 'body', headers: {'x-model': 'rare', 'x-left': '5000'}});
	await waitUntil('the request was decided on', async () => this.gatewayRun.logged.includes('request.held'));
	this.gatewayRun.setEndpoints(addresses);
	this.received.push(await call);
});

Then('it was refused before half of its time was over', function (this: GatewayWorld) {
	assert.ok(this.gatewayRun.logged.includes('request.given-up'));
	assert.equal(this.gatewayRun.logged.includes('request.expired'), false);
	assert.ok(this.gatewayRun.longestMs < 1000);
});

Then('it gets status {int} with the body {string} whole', function (this: GatewayWorld, status: number, body: string) {
	assert.deepEqual(this.received.map(received => [received.status, received.body, received.isWhole]), [[status, body, true]]);
});

Then('it gets status {int} with the events {string} whole', function (this: GatewayWorld, status: number, ids: string) {
	const [received] = this.received;
	assert.equal(received?.status, status);
	assert.equal(received.isWhole, true);
	assert.equal(received.body, ids.split(' ').map(id => event(Number(id))).join(''));
});

Then('it gets status {int} with the word {string}', function (this: GatewayWorld, status: number, word: string) {
	assert.equal(this.received[0]?.status, status);
	assert.match(this.received[0].body, new RegExp(word, 'v'));
});

Then('it gets no whole answer', function (this: GatewayWorld) {
	assert.equal(this.received[0]?.status === 200 && this.received[0].isWhole, false);
});

Then('each answer is its own', function (this: GatewayWorld) {
	assert.deepEqual(this.received.map(({body}) => body), ['r1', 'r2', 'r3']);
});

Then('the endpoint got {int} request(s)', function (this: GatewayWorld, count: number) {
	assert.equal(this.scripted[0]?.requests.length, count);
});

When('{int} callers connect and send a request each', async function (this: GatewayWorld, count: number) {
	await start(this);
	this.received = await Promise.all(Array.from({length: count}, async () => this.gatewayRun.callAnew('/safe/x')));
});

Then('all of them get status {int}', function (this: GatewayWorld, status: number) {
	assert.equal(this.received.every(received => received.status === status), true);
});

type LearningWorld = World & {headTimes: FirstByteTimes; board: EndpointTracker; now: number};

/** Requests that an estimate gets, and the part of them that something else delays. */
const learningRequests = 60;

Given('engines that begin an answer in {int} ms, and {int} in {int} answers later by {int} ms', function (this: LearningWorld, headMs: number, late: number, outOf: number, laterMs: number) {
	this.headTimes = new FirstByteTimes();
	Array.from({length: learningRequests}).forEach((_, index) => {
		this.headTimes.record('m', 1000, headMs + (index % outOf < late ? laterMs : 0));
	});
});

Given('engines that read {int} tokens in a ms, and prompts of which {int} in {int} have {int} tokens and the others {int}', function (this: LearningWorld, rate: number, typical: number, outOf: number, tokens: number, others: number) {
	this.headTimes = new FirstByteTimes();
	Array.from({length: learningRequests * 10}).forEach((_, index) => {
		const prompt = index % outOf < typical ? tokens : others;
		this.headTimes.record('m', prompt, prompt / rate);
	});
});

Then('an entry expects about {int} ms after {int} requests', function (this: LearningWorld, headMs: number, _requests: number) {
	const learned = this.headTimes.getFirstByteMs('m');
	assert.ok(learned > headMs * 0.6 && learned < headMs * 1.6, `${learned}`);
});

Given('two engines with one load, of which one began its last answers {int} ms late', function (this: LearningWorld, lateMs: number) {
	this.now = 0;
	this.board = new EndpointTracker(() => this.now);
	this.board.recordStartDelay('late', lateMs);
	this.board.recordStartDelay('late', lateMs);
});

/** Chooses between the two engines; `random` is added to what each of them costs, in turn. */
const chooseEngine = ({board, now}: LearningWorld, random: number[]): string | undefined =>
	chooseEndpoint({
		endpoints: ['late', 'other'].map(id => createEndpoint(id)), model: undefined, adapter: undefined, failureDomain: 'a', attemptedIds: new Set(), permitRetryAt: new Map(), isLimited: () => false, limitedProbeMs: Number.POSITIVE_INFINITY, now, getObservations: id => board.getOrCreate(id), random: () => random.shift() ?? 0, firstByteMs: 100, prefillMsPerToken: 0.1,
	})?.id;

Then('the other one is chosen, and either of them {int} ms later', function (this: LearningWorld, laterMs: number) {
	assert.equal(chooseEngine(this, [0, 1]), 'other');
	this.now = laterMs;
	assert.equal(chooseEngine(this, [0, 1]), 'late');
	assert.equal(chooseEngine(this, [1, 0]), 'other');
});

type RetryWorld = World & {allowedRetries: number; madeRetries: number};

const retryWindowMs = 10_000;
/** Tries of one entry to retry, more than any share. */
const retryTries = 300;

Given('operators allow {int} retries in a window besides a part of the requests', function (this: RetryWorld, count: number) {
	this.allowedRetries = count;
});

When('{int} entries get a request each and every one of them fails', function (this: RetryWorld, entries: number) {
	const made = Array.from({length: entries}, () => {
		const allowance = new ServiceRetryBudget({
			ratio: 0.2, slack: this.allowedRetries, windowMs: retryWindowMs,
		}, () => 0, () => entries);
		allowance.recordRequest('s');
		return Array.from({length: retryTries}).filter(() => allowance.takeRetry('s')).length;
	});
	this.madeRetries = made.reduce((sum, count) => sum + count, 0);
});

Then('they make at most {int} retries', function (this: RetryWorld, limit: number) {
	assert.ok(this.madeRetries <= limit, `${this.madeRetries} retries`);
});
