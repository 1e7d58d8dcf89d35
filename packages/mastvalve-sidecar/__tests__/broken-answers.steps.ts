/**
 * Steps for answers that break off on their way through a sidecar, with an endpoint that uses raw connections.
 */

import {strict as assert} from 'node:assert';
import type {Agent} from 'node:http';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, collectText, waitFor} from 'mastvalve-utils';
import {resetConnection} from '../../../features/support/reset-connection.js';
import {createDispatchAgent, dispatchRequest} from '../src/server/dispatch.js';

type BrokenWorld = World & {brokenServer: Server; brokenAgent: Agent; bodies: string[]; dispatchError: string; dispatchMs: number};

const body = '{"loan":"4711","isRecorded":true}';
const pauseMs = 5;
const timeLimitMs = 3000;
const maxBodyBytes = 65_536;

const head = (fields: string): string => `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${fields}\r\n`;
const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;

/** Parts of an answer, and how its connection ends behind them. */
type ScriptedAnswer = {text: string; end?: 'close' | 'reset' | 'reset after a pause'};

const answers: Record<string, ScriptedAnswer> = {
	'a length': {text: `${head(`content-length: ${body.length}\r\n`)}${body}`},
	chunks: {text: `${head('transfer-encoding: chunked\r\n')}${chunk}0\r\n\r\n`},
	'a length behind 2500 fields': {text: `${head(`${'a:\r\n'.repeat(2500)}content-length: ${body.length}\r\n`)}${body}`},
	'nothing, then closes': {text: `${head('')}${body}`, end: 'close'},
	'nothing, then resets after a pause': {text: `${head('')}${body}`, end: 'reset after a pause'},
	'nothing, then resets at once': {text: `${head('')}${body}`, end: 'reset'},
	'a length, then closes before it': {text: `${head(`content-length: ${body.length + 1}\r\n`)}${body}`, end: 'close'},
	'chunks, then closes before the last chunk': {text: `${head('transfer-encoding: chunked\r\n')}${chunk}`, end: 'close'},
};

const sendAnswer = async (socket: Socket, {text, end}: ScriptedAnswer): Promise<void> => {
	await new Promise<void>(resolve => {
		socket.write(text, () => {
			resolve();
		});
	});
	if (end === 'close') {
		socket.end();
	} else if (end !== undefined) {
		await waitFor(end === 'reset' ? 0 : pauseMs);
		resetConnection(socket);
	}
};

After(async function (this: BrokenWorld) {
	this.brokenAgent?.destroy();
	this.brokenServer?.close();
});

Given('an endpoint that answers with {string}', async function (this: BrokenWorld, framing: string) {
	this.brokenServer = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			void sendAnswer(socket, answers[framing]!);
		});
	});
	await new Promise<void>(resolve => {
		this.brokenServer.listen(0, '127.0.0.1', resolve);
	});
});

const garbage = '\u0000no answer'.repeat(100);

/** Sends bytes that belong to no request until the connection is closed. */
const sendWithoutEnd = (socket: Socket): void => {
	const sender = setInterval(() => {
		socket.write(garbage);
	}, 0);
	socket.once('close', () => {
		clearInterval(sender);
	});
};

Given('an endpoint that answers with {string} and sends {string} behind it', async function (this: BrokenWorld, framing: string, surplus: string) {
	this.brokenServer = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			const {text} = answers[framing]!;
			socket.write(surplus.endsWith('at once') ? `${text}${garbage}` : text, () => {
				if (surplus === 'bytes without end') {
					sendWithoutEnd(socket);
				} else {
					socket.write(garbage);
				}
			});
		});
	});
	await new Promise<void>(resolve => {
		this.brokenServer.listen(0, '127.0.0.1', resolve);
	});
});

const endless = new Map([
	['informational heads', 'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n'],
	['fields of a head', 'HTTP/1.1 200 OK\r\nx: y\r\n'],
]);

Given('an endpoint that sends {string} without end', async function (this: BrokenWorld, heads: string) {
	this.brokenServer = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			const text = endless.get(heads)!;
			socket.write(text);
			const sender = setInterval(() => {
				socket.write(text.slice(heads === 'fields of a head' ? text.indexOf('x: ') : 0).repeat(100));
			}, 1);
			socket.once('close', () => {
				clearInterval(sender);
			});
		});
	});
	await new Promise<void>(resolve => {
		this.brokenServer.listen(0, '127.0.0.1', resolve);
	});
});

When('a sidecar hands a request to it', async function (this: BrokenWorld) {
	const {port} = assumeType<AddressInfo>(this.brokenServer.address());
	this.brokenAgent = createDispatchAgent(1);
	const beganAt = performance.now();
	const answer = await dispatchRequest({
		url: `http://127.0.0.1:${port}/loans`, method: 'POST', headers: {}, body: new Uint8Array(), signal: AbortSignal.timeout(timeLimitMs), isEngine: false,
	}, this.brokenAgent);
	this.dispatchError = answer.isErr() ? answer.error.message : 'none';
	this.dispatchMs = performance.now() - beganAt;
});

Then('it gives the request up within {int} ms, with an error that says {string}', function (this: BrokenWorld, limitMs: number, bound: string) {
	assert.ok(this.dispatchError.toLowerCase().includes(bound.toLowerCase()), this.dispatchError);
	assert.ok(this.dispatchMs < limitMs, `${Math.round(this.dispatchMs)} ms`);
});

When('a sidecar hands {int} requests to it, one after the other', async function (this: BrokenWorld, count: number) {
	const {port} = assumeType<AddressInfo>(this.brokenServer.address());
	this.brokenAgent = createDispatchAgent(1);
	this.bodies = await Array.from({length: count}).reduce<Promise<string[]>>(async before => {
		const bodies = await before;
		const answer = await dispatchRequest({
			url: `http://127.0.0.1:${port}/loans`, method: 'POST', headers: {}, body: new Uint8Array(), signal: AbortSignal.timeout(timeLimitMs), isEngine: false,
		}, this.brokenAgent);
		const text = await (answer.isOk() ? collectText(answer.value.body, maxBodyBytes).catch(() => 'broken off') : 'broken off');
		await waitFor(0);
		return [...bodies, text];
	}, Promise.resolve([]));
});

Then('each body is {string}', function (this: BrokenWorld, result: string) {
	assert.deepEqual([...new Set(this.bodies)], [result === 'whole' ? body : result]);
});

Given('an endpoint that sends each answer once more in the place of the next one on its connection', async function (this: BrokenWorld) {
	this.brokenServer = createServer(socket => {
		let surplus = '';
		socket.on('error', () => undefined);
		socket.on('data', data => {
			const number = /x-number: (?<number>\d+)/v.exec(data.toString())?.groups?.number ?? '';
			const answer = number === '1' ? 'HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n' : `${head('content-length: 1\r\n')}${number}`;
			socket.write(surplus + answer);
			surplus = answer;
		});
	});
	await new Promise<void>(resolve => {
		this.brokenServer.listen(0, '127.0.0.1', resolve);
	});
});

When('a sidecar hands {int} numbered requests to that engine, one after the other', async function (this: BrokenWorld, count: number) {
	const {port} = assumeType<AddressInfo>(this.brokenServer.address());
	this.brokenAgent = createDispatchAgent(1);
	this.bodies = await Array.from({length: count}, (_, index) => String(index + 1)).reduce<Promise<string[]>>(async (before, number) => {
		const bodies = await before;
		const answer = await dispatchRequest({
			url: `http://127.0.0.1:${port}/loans`, method: 'POST', headers: {'x-number': number}, body: new Uint8Array(), signal: AbortSignal.timeout(timeLimitMs), isEngine: true,
		}, this.brokenAgent);
		const text = answer.isOk() ? await collectText(answer.value.body, maxBodyBytes) : answer.error.code;
		await waitFor(pauseMs);
		return [...bodies, text];
	}, Promise.resolve([]));
});

Then('the requests get {string}', function (this: BrokenWorld, bodies: string) {
	assert.equal(this.bodies.join(' '), bodies);
});
