/**
 * Steps for bodies of calls beyond their bounds.
 */

import {strict as assert} from 'node:assert';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {Hono} from 'hono';
import {assumeType, HybridClock, waitFor} from 'mastvalve-utils';
import {trustedInput} from '../src/rpc/input.js';
import {
	createRouter, createRpcClient, mountRouter, procedure,
} from '../src/rpc/trpc.js';
import type {UpstreamRouter} from '../src/rpc/upstream-router.js';
import {startServer, type RunningServer} from '../src/server.js';

type BodiesWorld = World & {rpcServer: RunningServer; endlessProgram: Server; rpcCaller: Socket; rpcAnswer: string};

const byteIntervalMs = 20;
const chunkBytes = 65_536;
const piece = ' '.repeat(chunkBytes);
/** Ends an answer that isn't given up, bytes. */
const lastByte = 200_000_000;

const formatHead = (field: string): string => `POST /rpc/take?batch=1 HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n${field}\r\n\r\n`;
const chunked = formatHead('transfer-encoding: chunked');
const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const input = '{"0":{"n":1}}';

/** What is sent first, then again and again. */
type Body = {head: string; next?: string; intervalMs?: number};

const bodies = new Map<string, Body>([
	['chunks without end', {head: chunked, next: formatChunk(' '.repeat(chunkBytes)), intervalMs: 1}],
	['a length that is above', {head: formatHead('content-length: 1000000000'), next: ' ', intervalMs: byteIntervalMs}],
	['one byte each 20 ms', {head: chunked, next: formatChunk(' '), intervalMs: byteIntervalMs}],
	['whole chunks', {head: `${chunked}${formatChunk(input)}0\r\n\r\n`}],
]);

Given('a program that takes calls of at most {int} bytes within {int} ms', async function (this: BodiesWorld, maxBytes: number, maxMs: number) {
	const app = new Hono();
	mountRouter(app, createRouter({
		take: procedure.input(trustedInput<{n: number}>()).mutation(({input: {n}}) => n + 41),
	}), {maxBytes, maxMs});
	const started = await startServer(app, '127.0.0.1:0');
	this.rpcServer = started._unsafeUnwrap();
});

When('a caller calls it with {string} for at most {int} ms', async function (this: BodiesWorld, name: string, limitMs: number) {
	const [host, port] = this.rpcServer.address.split(':');
	const {head, next, intervalMs} = bodies.get(name)!;
	const socket = connect(Number(port), host);
	this.rpcCaller = socket;
	this.rpcAnswer = '';
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		this.rpcAnswer += chunk.toString();
	});
	await once(socket, 'connect');
	socket.write(head);
	const sender = next === undefined
		? undefined
		: setInterval(() => {
			// Sends no faster than the program reads.
			if (!socket.writableNeedDrain) {
				socket.write(next);
			}
		}, intervalMs);
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	await Promise.race([closed, waitFor(limitMs)]);
	clearInterval(sender);
});

Then('the caller gets the status {int}, and its connection is closed', function (this: BodiesWorld, status: number) {
	assert.equal(this.rpcAnswer.slice(0, 12), `HTTP/1.1 ${status}`, `${this.rpcCaller.bytesWritten} bytes sent`);
	assert.equal(this.rpcCaller.closed, true);
});

Then('the program has read fewer than {int} bytes', function (this: BodiesWorld, bytes: number) {
	assert.ok(this.rpcCaller.bytesWritten < bytes, `${this.rpcCaller.bytesWritten} bytes sent`);
});

Then('the caller gets the answer to its call', function (this: BodiesWorld) {
	assert.match(this.rpcAnswer, /^HTTP\/1\.1 200.*"data":42/sv);
});

Given('a program that answers calls without end', async function (this: BodiesWorld) {
	this.endlessProgram = createServer(socket => {
		const send = (): void => {
			while (socket.writable && socket.bytesWritten < lastByte) {
				if (!socket.write(piece)) {
					socket.once('drain', send);
					return;
				}
			}

			socket.end();
		};

		socket.on('error', () => undefined);
		socket.once('data', () => {
			this.rpcCaller = socket;
			socket.write('HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n[');
			send();
		});
	});
	await new Promise<void>(resolve => {
		this.endlessProgram.listen(0, '127.0.0.1', resolve);
	});
});

When('another program calls it', async function (this: BodiesWorld) {
	const {port} = assumeType<AddressInfo>(this.endlessProgram.address());
	const client = createRpcClient<UpstreamRouter>(`http://127.0.0.1:${port}`, new HybridClock(Date.now));
	this.rpcAnswer = await client.readLatest.query().then(() => 'an answer', String);
});

Then('the call fails with {string}', function (this: BodiesWorld, reason: string) {
	assert.ok(this.rpcAnswer.includes(reason), this.rpcAnswer);
});

Then('the program has sent fewer than {int} bytes', function (this: BodiesWorld, bytes: number) {
	assert.ok(this.rpcCaller.bytesWritten < bytes, `${this.rpcCaller.bytesWritten} bytes sent`);
});

After(async function (this: BodiesWorld) {
	this.rpcCaller?.destroy();
	await this.rpcServer?.close();
	this.endlessProgram?.close();
});
