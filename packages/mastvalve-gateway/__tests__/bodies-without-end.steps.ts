/**
 * Steps for endpoints that send bodies without end.
 */

import {strict as assert} from 'node:assert';
import {connect, type Socket} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type EndlessWorld = World & {
	endlessRun: RunningGateway; endlessEndpoint: ScriptedEndpoint; slowEndpoint: ScriptedEndpoint; endlessCallers: Socket[]; relayed: number; sent: () => number; received: Received;
};

const kilobyte = 1000;
/** Bytes that are written at once. */
const writtenBytes = 65_536;
const chunked = 'transfer-encoding: chunked\r\n';
const formatChunk = (bytes: number): string => `${bytes.toString(16)}\r\n${'z'.repeat(bytes)}\r\n`;

const start = async (world: EndlessWorld, fields: string, piece: string, count = Number.POSITIVE_INFINITY): Promise<void> => {
	world.endlessCallers = [];
	world.endlessEndpoint = await startScriptedEndpoint((socket, text) => {
		let left = count;
		const write = (): void => {
			if (socket.destroyed) {
				return;
			}

			left -= 1;
			if (left < 0) {
				socket.write('0\r\n\r\n');
				return;
			}

			socket.write(piece, write);
		};

		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\n${fields}\r\n`);
		write();
	});
	world.endlessRun = new RunningGateway();
	await world.endlessRun.start([world.endlessEndpoint.address]);
};

After(async function (this: Partial<EndlessWorld>) {
	this.endlessCallers?.forEach(socket => {
		socket.destroy();
	});
	this.endlessEndpoint?.close();
	this.slowEndpoint?.close();
	await this.endlessRun?.stop();
});

Given('an endpoint that sends chunks of {int} byte(s) without end', async function (this: EndlessWorld, bytes: number) {
	const chunk = formatChunk(bytes);
	await start(this, chunked, chunk.repeat(Math.ceil(writtenBytes / chunk.length)));
});

Given('an endpoint that sends bytes that nothing frames without end', async function (this: EndlessWorld) {
	await start(this, '', 'z'.repeat(writtenBytes));
});

Given('an endpoint that sends a body of a terabyte without end', async function (this: EndlessWorld) {
	await start(this, 'content-length: 1000000000000\r\n', 'z'.repeat(writtenBytes));
});

Given('an endpoint that sends {int} chunks of {int} bytes', async function (this: EndlessWorld, count: number, bytes: number) {
	await start(this, chunked, formatChunk(bytes), count);
});

const readBody = (world: EndlessWorld, id: number): Socket => {
	const [host, port] = world.endlessRun.listenAddress.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		world.relayed += chunk.length;
	});
	socket.write(`POST /patient/x HTTP/1.1\r\nhost: h\r\nx-id: endless-${id}\r\ncontent-length: 0\r\n\r\n`);
	return socket;
};

When('{int} callers read such bodies for {int} ms', async function (this: EndlessWorld, count: number, durationMs: number) {
	this.relayed = 0;
	this.endlessCallers = Array.from({length: count}, (_, id) => readBody(this, id));
	await waitFor(durationMs);
});

Then('the entry has relayed at most {int} kB', function (this: EndlessWorld, limit: number) {
	assert.ok(this.relayed > 0);
	assert.ok(this.relayed <= limit * kilobyte, `${this.relayed} bytes`);
});

When('a caller reads such a body of at most {int} tokens', async function (this: EndlessWorld, tokens: number) {
	this.received = await this.endlessRun.call('/patient/x', {headers: {'x-max-tokens': String(tokens), 'x-left': '20000'}});
});

Then('its answer breaks off behind {int} bytes, or {int} fewer', function (this: EndlessWorld, bytes: number, tolerance: number) {
	const {isWhole, body} = this.received;
	assert.equal(isWhole, false);
	assert.ok(body.length <= bytes && body.length >= bytes - tolerance, `${body.length}`);
});

const checkLearned = async ({endlessRun}: EndlessWorld, text: string): Promise<void> => {
	await waitUntil('it is logged', async () => endlessRun.lines.some(line => line.includes(text)));
	assert.ok(endlessRun.lines.some(line => line.includes(text) && line.includes('"endpoint":"e0"')));
	assert.deepEqual(endlessRun.failures, ['e0']);
};

Then('the end {string} is logged, and a failure of the endpoint recorded', async function (this: EndlessWorld, end: string) {
	await checkLearned(this, `"end":"${end}"`);
});

Then('the endpoint has no open connection', async function (this: EndlessWorld) {
	await waitUntil('it is closed', async () => this.endlessEndpoint.open() === 0);
});

When('a caller reads such a body for its {int} ms', async function (this: EndlessWorld, leftMs: number) {
	this.received = await this.endlessRun.call('/patient/x', {headers: {'x-left': String(leftMs)}});
});

Then('{string} is logged, and a failure of the endpoint recorded', async function (this: EndlessWorld, kind: string) {
	await checkLearned(this, `"kind":"${kind}"`);
});

When('a caller reads the whole answer', async function (this: EndlessWorld) {
	this.received = await this.endlessRun.call('/patient/x');
});

Then('it has all {int} bytes after at most {int} ms', function (this: EndlessWorld, bytes: number, limitMs: number) {
	assert.equal(this.received.isWhole, true);
	assert.equal(this.received.body.length, bytes);
	assert.ok(this.endlessRun.longestMs < limitMs, `${this.endlessRun.longestMs} ms`);
});

Then('no failure of the endpoint is recorded', function (this: EndlessWorld) {
	assert.deepEqual(this.endlessRun.failures, []);
});

const statusFields = new Map([['503 and not run', '503 Service Unavailable\r\nx-not-run: 1'], ['500', '500 Internal Server Error']]);

Given('an endpoint that answers {string} with a body without end, and another that answers after {int} ms', async function (this: EndlessWorld, status: string, delayMs: number) {
	let sent = 0;
	this.sent = () => sent;
	this.endlessEndpoint = await startScriptedEndpoint((socket, text) => {
		const write = (): void => {
			if (!socket.destroyed) {
				socket.write(formatChunk(writtenBytes), write);
				sent += writtenBytes;
			}
		};

		socket.write(`HTTP/1.1 ${statusFields.get(status)!}\r\nx-id: ${idOf(text)}\r\n${chunked}\r\n`);
		write();
	});
	this.slowEndpoint = await startScriptedEndpoint((socket, text) => {
		setTimeout(() => {
			socket.write(formatAnswer(idOf(text), 'whole.'));
		}, delayMs);
	});
	this.endlessRun = new RunningGateway();
	await this.endlessRun.start([this.endlessEndpoint.address, this.slowEndpoint.address]);
});

When('a caller sends a request that may be repeated', async function (this: EndlessWorld) {
	this.received = await this.endlessRun.call('/patient/x');
});

Then('it gets the answer of the other', function (this: EndlessWorld) {
	assert.deepEqual({status: this.received.status, body: this.received.body}, {status: 200, body: 'whole.'});
	assert.equal(this.endlessEndpoint.requests.length, 1);
});

Then('less than {int} kB of the body were sent', function (this: EndlessWorld, limit: number) {
	assert.ok(this.sent() < limit * kilobyte, `${this.sent()} bytes`);
});

Then('{string} is logged, and failures of the endpoint recorded', async function (this: EndlessWorld, kind: string) {
	await waitUntil('it is logged', async () => this.endlessRun.lines.some(line => line.includes(`"kind":"${kind}"`) && line.includes('"endpoint":"e0"')));
	assert.ok(this.endlessRun.failures.length > 0);
	assert.ok(this.endlessRun.failures.every(id => id === 'e0'));
});
