/**
 * Steps for bounds of calls between instances.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {Server as HttpServer} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {deflateRawSync} from 'node:zlib';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, waitFor} from 'mastvalve-utils';
import {ok, type Result} from 'neverthrow';
import {waitUntil} from '../../../features/support/conditions.js';
import {PeerClient, startPeerServer, type PeerError} from '../src/index.js';

type BoundsWorld = World & {
	boundedServer?: Server | HttpServer; peerSocket?: Socket; peerAddress: string; peerResult: Result<unknown, PeerError>; peerExcesses: string[]; handledCalls: number; sentAt: number;
};

const kilobyte = 1024;
const blockBytes = 65_536;
const pieceMs = 100;
const chunk = `${blockBytes.toString(16)}\r\n${' '.repeat(blockBytes)}\r\n`;
const packed = deflateRawSync(Buffer.from(`"${' '.repeat(8_000_000)}"`));
const unpacked = `content-encoding: deflate-raw\r\ncontent-length: ${packed.length}\r\n\r\n`;
const chunked = 'transfer-encoding: chunked\r\n\r\n';
const slowBytes = 60 * kilobyte;
const slowPieces = 10;

After(function (this: BoundsWorld) {
	this.peerSocket?.destroy();
	this.boundedServer?.close();
});

const listenerAddress = (server: Server | HttpServer): string => `127.0.0.1:${assumeType<AddressInfo>(server.address()).port}`;

const sendAgain = (socket: Socket, text: string): void => {
	const write = (): void => {
		while (socket.writable && socket.write(text)) {
			// Goes on until the system's buffer is full.
		}
	};

	socket.on('drain', write);
	write();
};

const answers: Record<string, (socket: Socket) => void> = {
	'a body in chunks without end'(socket) {
		socket.write(`HTTP/1.1 200 OK\r\n${chunked}`);
		sendAgain(socket, chunk);
	},
	'a body that unpacks to 8 MB'(socket) {
		socket.write(`HTTP/1.1 200 OK\r\n${unpacked}`);
		socket.end(packed);
	},
	'informational heads'(socket) {
		sendAgain(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(kilobyte));
	},
	'a head without end'(socket) {
		socket.write('HTTP/1.1 200 OK\r\n');
		sendAgain(socket, 'a: b\r\n'.repeat(kilobyte * kilobyte / 64));
	},
};

const calls: Record<string, (socket: Socket) => void> = {
	'a body in chunks without end'(socket) {
		socket.write(`POST /call HTTP/1.1\r\nhost: h\r\n${chunked}`);
		sendAgain(socket, chunk);
	},
	'a body that unpacks to 8 MB'(socket) {
		socket.write(`POST /call HTTP/1.1\r\nhost: h\r\n${unpacked}`);
		socket.write(packed);
	},
	'a body that stops'(socket) {
		socket.write('POST /call HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n{');
	},
	'an unknown call without end'(socket) {
		socket.write(`POST /unknown HTTP/1.1\r\nhost: h\r\n${chunked}`);
		sendAgain(socket, chunk);
	},
	'60 KB in 10 pieces over a second'(socket) {
		const body = `"${' '.repeat(slowBytes - 2)}"`;
		socket.write(`POST /call HTTP/1.1\r\nhost: h\r\ncontent-length: ${slowBytes}\r\n\r\n`);
		Array.from({length: slowPieces}, (_, index) => setTimeout(() => {
			socket.write(body.slice(index * slowBytes / slowPieces, (index + 1) * slowBytes / slowPieces));
		}, index * pieceMs));
	},
};

Given('a peer that answers with {string}', async function (this: BoundsWorld, answer: string) {
	this.boundedServer = createServer(socket => {
		this.peerSocket = socket;
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answers[answer]!(socket);
		});
	}).listen(0, '127.0.0.1');
	await once(this.boundedServer, 'listening');
	this.peerAddress = listenerAddress(this.boundedServer);
	this.peerExcesses = [];
});

When('an instance that reads up to {int} KB calls it', async function (this: BoundsWorld, size: number) {
	const client = new PeerClient({
		maxAnswerBytes: size * kilobyte, onExceededBound: message => {
			this.peerExcesses.push(message);
		},
	});
	this.sentAt = performance.now();
	this.peerResult = await client.call({
		address: this.peerAddress, path: '/call', body: {}, idleTimeoutMs: 2000,
	});
});

Then('the call fails with a message that names the peer, the call and the bound, and is counted', function (this: BoundsWorld) {
	const {message} = this.peerResult._unsafeUnwrapErr();
	[message, ...this.peerExcesses].forEach(text => {
		assert.ok(text.includes(this.peerAddress) && text.includes('/call') && /more than|larger than|overflow/iv.test(text), text);
	});
	assert.equal(this.peerExcesses.length, 1);
});

Then('the connection is closed within {int} ms', async function (this: BoundsWorld, limitMs: number) {
	await waitUntil('the connection is closed', async () => this.peerSocket?.closed);
	assert.ok(performance.now() - this.sentAt < limitMs, `closed after ${Math.round(performance.now() - this.sentAt)} ms`);
});

Given('an instance that reads up to {int} KB of a call, and waits {int} ms for a byte of it', async function (this: BoundsWorld, size: number, maxSilenceMs: number) {
	this.handledCalls = 0;
	this.peerExcesses = [];
	const started = await startPeerServer('127.0.0.1:0', new Map([['/call', async () => {
		this.handledCalls += 1;
		return ok({});
	}]]), () => undefined, {
		bounds: {maxBytes: size * kilobyte, maxSilenceMs}, onExceededBound: message => {
			this.peerExcesses.push(message);
		},
	});
	this.boundedServer = started._unsafeUnwrap();
});

When('a peer sends {string}', async function (this: BoundsWorld, call: string) {
	const [host, port] = listenerAddress(this.boundedServer!).split(':');
	const socket = connect(Number(port), host);
	this.peerSocket = socket;
	socket.on('error', () => undefined);
	socket.resume();
	await once(socket, 'connect');
	this.peerAddress = `${socket.localAddress}:${socket.localPort}`;
	this.sentAt = performance.now();
	calls[call]!(socket);
});

Then('no call is handled, and a message names the peer, the call and the bound', async function (this: BoundsWorld) {
	await waitUntil('an excess is told', async () => this.peerExcesses.length > 0);
	const [message = ''] = this.peerExcesses;
	assert.ok(message.includes(this.peerAddress) && /POST \/(?:call|unknown)/v.test(message) && /\d{3,} (?:bytes|ms)/v.test(message), message);
	assert.equal(this.handledCalls, 0);
});

Then('the call is handled', async function (this: BoundsWorld) {
	await waitUntil('the call is handled', async () => this.handledCalls === 1);
	await waitFor(0);
	assert.deepEqual(this.peerExcesses, []);
});
