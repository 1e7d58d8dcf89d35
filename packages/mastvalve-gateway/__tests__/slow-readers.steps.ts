/**
 * Steps for callers that read slowly, and endpoints that do not read request bodies. Endpoints answer from one shared buffer, so that what the
 * test process holds in buffers beyond it is the entry's.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {createServer, type Server, type Socket} from 'node:net';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, systemClock, waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {noopObserver, StreamPosition} from '../src/index.js';
import {AnswerReader} from '../src/memory/answer-reader.js';
import {UnreadAnswers} from '../src/memory/unread-answers.js';
import {withEventLoopDelay} from './__fixtures__/event-loop-delay.js';
import {RunningGateway, type RunningGatewayOptions} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type ReaderWorld = World & {
	readerRun: RunningGateway;
	readerEndpoints: ScriptedEndpoint[];
	unreadingServer: Server | undefined;
	unreadSockets: Socket[];
	slowCallers: Array<ReturnType<RunningGateway['connect']>>;
	slowReaders: number;
	heldBefore: number;
	heldBytes: number;
	bodyStatuses: Promise<number[]>;
	answeredMs: number[];
	position: StreamPosition;
	passedOnBytes: number;
	eventBytes: number;
	unread: UnreadAnswers;
	isCutOff: boolean;
	stoppedAt: number;
};

const bytesPerKilobyte = 1024;
const bytesPerMegabyte = 1_048_576;
const largestAnswerMegabytes = 64;
const settleMs = 500;
const quickPath = '/open/x';

setFlagsFromString('--expose-gc');
const collectGarbage = assumeType<() => void>(runInNewContext('gc'));

/** Time in which the memory of collected buffers is given back, ms. */
const sweepMs = 60;
const sweeps = 5;

/** Bytes in buffers of this process, without garbage. */
const readBufferBytes = async (): Promise<number> =>
	Array.from({length: sweeps}).reduce<Promise<number>>(async before => {
		const least = await before;
		collectGarbage();
		await waitFor(sweepMs);
		return Math.min(least, process.memoryUsage().arrayBuffers);
	}, Promise.resolve(Number.POSITIVE_INFINITY));

/** Bytes of all large answers: events of 8 bytes. They stay, so that no scenario frees those of another. */
let sharedBody: Uint8Array | undefined;

const takeBody = (megabytes: number): Uint8Array => {
	sharedBody ??= Buffer.alloc(largestAnswerMegabytes * bytesPerMegabyte, 'data: x\n\n');
	return sharedBody.subarray(0, megabytes * bytesPerMegabyte);
};

After(async function (this: ReaderWorld) {
	this.slowCallers?.forEach(caller => {
		caller.disconnect();
	});
	this.readerEndpoints?.forEach(endpoint => {
		endpoint.close();
	});
	this.unreadSockets?.forEach(socket => {
		socket.destroy();
	});
	this.unreadingServer?.close();
	await this.readerRun?.stop();
});

const open = async (world: ReaderWorld, addresses: readonly string[], options: RunningGatewayOptions = {}): Promise<void> => {
	world.slowCallers = [];
	world.slowReaders = 0;
	world.readerRun = new RunningGateway(options);
	world.readerRun.gateway.observe({
		...noopObserver, recordSlowReader() {
			world.slowReaders += 1;
		},
	});
	await world.readerRun.start(addresses);
};

/** Starts an endpoint whose answers have a size; those to the quick path are short. */
const startLargeAnswers = async (world: ReaderWorld, megabytes: number): Promise<string> => {
	const body = takeBody(megabytes);
	const endpoint = await startScriptedEndpoint((socket, text) => {
		if (text.includes(quickPath)) {
			socket.write(formatAnswer(idOf(text), 'whole'));
			return;
		}

		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: ${body.length}\r\n\r\n`);
		socket.write(body);
	});
	world.readerEndpoints = [endpoint];
	return endpoint.address;
};

Given('an entry with an endpoint that answers with {int} MB of shared bytes', async function (this: ReaderWorld, megabytes: number) {
	await open(this, [await startLargeAnswers(this, megabytes)]);
});

Given('an entry that holds at most {int} MB of unread answers, with an endpoint that answers with {int} MB', async function (this: ReaderWorld, held: number, megabytes: number) {
	await open(this, [await startLargeAnswers(this, megabytes)], {maxUnreadBytes: held * bytesPerMegabyte});
});

Given('an entry with two endpoints that cut off answers which are unread for {int} ms', async function (this: ReaderWorld, ms: number) {
	const body = takeBody(largestAnswerMegabytes);
	this.readerEndpoints = await Promise.all([1, 2].map(async () => startScriptedEndpoint((socket, text) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-length: ${body.length}\r\n\r\n`);
		socket.write(body);
		setTimeout(() => {
			socket.resetAndDestroy();
		}, ms);
	})));
	await open(this, this.readerEndpoints.map(({address}) => address));
});

/** Starts an endpoint that accepts connections and reads nothing. */
const startUnreading = async (world: ReaderWorld): Promise<string> => {
	world.unreadSockets = [];
	world.unreadingServer = createServer({pauseOnConnect: true}, socket => {
		socket.on('error', () => undefined);
		world.unreadSockets.push(socket);
	});
	await new Promise<void>(resolve => {
		world.unreadingServer!.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${assumeType<{port: number}>(world.unreadingServer.address()).port}`;
};

Given('an entry with an endpoint that reads no bodies', async function (this: ReaderWorld) {
	await open(this, [await startUnreading(this)], {maxBodyBytes: 4 * bytesPerMegabyte});
});

Given('an entry that holds at most {int} MB of bodies, with an endpoint that reads no bodies', async function (this: ReaderWorld, held: number) {
	await open(this, [await startUnreading(this)], {maxBodyBytes: 4 * bytesPerMegabyte, maxHeldBodyBytes: held * bytesPerMegabyte});
});

When('{int} callers do not read their answers for {int} ms', async function (this: ReaderWorld, count: number, ms: number) {
	this.heldBefore = await readBufferBytes();
	this.slowCallers = Array.from({length: count}, () => {
		const caller = this.readerRun.connect(false);
		caller.send('/patient/x', 'x-left: 60000\r\n');
		return caller;
	});
	await waitUntil('all requests run', async () => this.readerEndpoints[0]!.requests.length === count);
	await waitFor(ms);
	this.heldBytes = await readBufferBytes() - this.heldBefore;
	this.attach(`${Math.round(this.heldBytes / bytesPerKilobyte)} KB for ${count} unread answers, ${Math.round(this.heldBytes / bytesPerKilobyte / count)} KB each`);
});

When('{int} callers do not read their answers for {int} ms, and {int} more for {int} ms', async function (this: ReaderWorld, first: number, firstMs: number, second: number, secondMs: number) {
	const connectUnreading = async (count: number, ms: number): Promise<void> => {
		Array.from({length: count}).forEach(() => {
			const caller = this.readerRun.connect(false);
			caller.send('/patient/x', 'x-left: 60000\r\n');
			this.slowCallers.push(caller);
		});
		await waitFor(ms);
	};

	await connectUnreading(first, firstMs);
	await connectUnreading(second, secondMs);
});

Then('the entry holds at most {int} KB for each of them', function (this: ReaderWorld, limit: number) {
	assert.equal(this.readerRun.gateway.inFlight, this.slowCallers.length);
	assert.ok(this.heldBytes <= limit * bytesPerKilobyte * this.slowCallers.length, `${this.heldBytes} bytes`);
});

Then('each of {int} other requests is answered within {int} ms plus loop delay', async function (this: ReaderWorld, count: number, limitMs: number) {
	const {result, delayMs} = await withEventLoopDelay(async () => Promise.all(Array.from({length: count}, async () => {
		const startedAt = systemClock.now();
		const {status} = await this.readerRun.call(quickPath);
		assert.equal(status, 200);
		return systemClock.now() - startedAt;
	})));
	this.attach(`slowest ${Math.max(...result).toFixed(1)} ms, event loop delayed by ${delayMs.toFixed(1)} ms`);
	assert.ok(Math.max(...result) <= limitMs + delayMs, result.join(' '));
});

Given('room for {int} bytes of unread answers', function (this: ReaderWorld, bytes: number) {
	this.unread = new UnreadAnswers(bytes);
});

When('an answer of {int} bytes becomes unread, and {int} more bytes of it arrive', function (this: ReaderWorld, first: number, more: number) {
	let bytes = first;
	this.isCutOff = false;
	const reader = new AnswerReader({
		unread: this.unread, readHeldBytes: () => bytes, onSlow: () => undefined, cutOff: () => {
			this.isCutOff = true;
			reader.resume();
		},
	});
	reader.stop();
	bytes += more;
	this.stoppedAt = systemClock.now();
});

Then('it is cut off within {int} ms', async function (this: ReaderWorld, limitMs: number) {
	await waitUntil('it is cut off', async () => this.isCutOff);
	assert.ok(systemClock.now() - this.stoppedAt < limitMs, `after ${Math.round(systemClock.now() - this.stoppedAt)} ms`);
});

Then('the entry holds at most {int} MB of unread answers', function (this: ReaderWorld, limit: number) {
	assert.ok(this.heldBytes <= limit * bytesPerMegabyte, `${this.heldBytes} bytes`);
});

Then('the answers that were unread for longest are aborted, and their requests cancelled at the endpoint', async function (this: ReaderWorld) {
	const {length} = this.slowCallers;
	const countAborted = (): number => this.readerRun.lines.filter(line => line.includes('"caller.cut-off"')).length;
	// Further answers may be cut off while their bytes still arrive, so all counts are read at the same moment.
	await waitUntil('each aborted answer is cancelled, and no other one', async () => {
		const left = length - countAborted();
		return this.readerRun.gateway.inFlight === left && this.readerEndpoints[0]!.open() === left;
	});
	const aborted = countAborted();
	this.attach(`${this.readerRun.gateway.unreadBytes} bytes counted, ${aborted} of ${length} answers aborted`);
	assert.ok(aborted > 0 && aborted < length);
});

When('the position in a resumable stream takes an event of {int} MB in parts of {int} KB', function (this: ReaderWorld, megabytes: number, kilobytes: number) {
	const part = Buffer.alloc(kilobytes * bytesPerKilobyte, 'x');
	this.position = new StreamPosition();
	this.heldBytes = 0;
	this.passedOnBytes = Array.from({length: megabytes * bytesPerMegabyte / part.length}).reduce<number>(passedOn => {
		const complete = this.position.take(part, 0);
		this.heldBytes = Math.max(this.heldBytes, this.position.heldBytes);
		return passedOn + complete.length;
	}, 0) + this.position.takeRemainder().length;
	this.eventBytes = megabytes * bytesPerMegabyte;
});

Then('it never holds more than {int} KB', function (this: ReaderWorld, limit: number) {
	assert.ok(this.heldBytes <= limit * bytesPerKilobyte, `${this.heldBytes} bytes`);
});

Then('all of the event is passed on, and the stream can\'t be resumed', function (this: ReaderWorld) {
	assert.equal(this.passedOnBytes, this.eventBytes);
	assert.equal(this.position.isLost, true);
});

When('a caller does not read a resumable stream for {int} ms, and reads on', async function (this: ReaderWorld, ms: number) {
	const caller = this.readerRun.connect(false);
	this.slowCallers.push(caller);
	caller.send('/stream/x', 'x-left: 60000\r\n');
	await waitFor(ms);
	caller.startReading();
	await waitFor(settleMs);
});

Then('the endpoints have received {int} request', function (this: ReaderWorld, count: number) {
	assert.equal(this.readerEndpoints.flatMap(({requests}) => requests).length, count);
});

Then('no failure is recorded for an endpoint', function (this: ReaderWorld) {
	assert.deepEqual(this.readerRun.failures, []);
});

Then('the caller gets no complete answer of it', async function (this: ReaderWorld) {
	await waitUntil('the request has ended', async () => this.readerRun.gateway.inFlight === 0);
	assert.equal(this.readerRun.logged.includes('request.answered'), false);
});

When('a caller stops reading for {int} ms, reads on, and stops again for {int} ms', async function (this: ReaderWorld, firstMs: number, secondMs: number) {
	const caller = this.readerRun.connect(false);
	this.slowCallers.push(caller);
	caller.send('/patient/x', 'x-left: 60000\r\n');
	await waitFor(firstMs);
	caller.startReading();
	await waitUntil('it has read on', async () => caller.readText().length > 16 * bytesPerMegabyte);
	caller.stopReading();
	await waitFor(secondMs);
});

Then('{int} line(s) tell(s) a slow reader with its request', function (this: ReaderWorld, count: number) {
	const lines = this.readerRun.lines.filter(line => line.includes('"caller.reads-slowly"'));
	this.attach(lines.join('\n'));
	assert.equal(lines.length, count);
	assert.equal(lines.every(line => line.includes('"request":"r1"')), true);
});

Then('{int} slow reader is counted', function (this: ReaderWorld, count: number) {
	assert.equal(this.slowReaders, count);
});

When('a caller reads its whole answer', async function (this: ReaderWorld) {
	const {isWhole} = await this.readerRun.call('/patient/x');
	assert.equal(isWhole, true);
});

When('{int} callers send bodies of {int} MB', async function (this: ReaderWorld, count: number, megabytes: number) {
	const body = 'x'.repeat(megabytes * bytesPerMegabyte);
	this.heldBefore = await readBufferBytes();
	this.bodyStatuses = Promise.all(Array.from({length: count}, async () => {
		const {status} = await this.readerRun.call('/patient/x', {body, agent: false, headers: {'x-left': '5000'}});
		return status;
	}));
	await waitFor(settleMs * 2);
	this.heldBytes = (await readBufferBytes() - this.heldBefore) / count;
	this.attach(`${(this.heldBytes / bytesPerMegabyte).toFixed(2)} MB for each body`);
});

Then('the entry holds at most {float} MB for each body', function (this: ReaderWorld, limit: number) {
	assert.ok(this.heldBytes <= limit * bytesPerMegabyte, `${this.heldBytes} bytes`);
});

Then('{int} of them are refused as not run', async function (this: ReaderWorld, count: number) {
	const statuses = await this.bodyStatuses;
	this.attach(statuses.join(' '));
	assert.equal(statuses.filter(status => status === 503).length, count);
});

Then('the endpoint has received {int} requests', function (this: ReaderWorld, count: number) {
	assert.equal(this.unreadSockets.length, count);
});

Then('bodies are taken again when the others have left', async function (this: ReaderWorld) {
	const {status} = await this.readerRun.call('/patient/x', {body: 'x'.repeat(2 * bytesPerMegabyte), agent: false, headers: {'x-left': '300'}});
	assert.equal(status, 504);
	await waitUntil('the entry holds no body', async () => this.readerRun.gateway.heldBodyBytes === 0);
});
