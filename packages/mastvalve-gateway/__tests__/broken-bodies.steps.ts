/**
 * Steps for bodies of requests and of calls between instances that break off, with raw connections.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import type {Server as HttpServer} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {deflateRawSync} from 'node:zlib';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {PeerClient, startPeerServer} from 'mastvalve-cluster';
import {assumeType, waitFor} from 'mastvalve-utils';
import {ok} from 'neverthrow';
import {waitUntil} from '../../../features/support/conditions.js';
import {findFreePorts} from '../../../features/support/free-ports.js';
import {resetConnection} from '../../../features/support/reset-connection.js';
import {RunningGateway} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type BodyWorld = World & {
	bodyRun: RunningGateway | undefined;
	bodyEndpoint: ScriptedEndpoint | undefined;
	bodyServer: HttpServer | undefined;
	bodyAddress: string;
	bodyHead: string;
	countReceived: () => number;
	peerServer: Server | undefined;
	peerClient: PeerClient | undefined;
	/** Whole bodies of answers, and the header of each that tells its coding. */
	peerBodies: Array<{bytes: Uint8Array; coding: string}>;
	peerResults: boolean[];
};

const body = '{"loan":"4711"}';
/** Time in which a server would hand on what it has received, ms. */
const settleMs = 100;

After(async function (this: BodyWorld) {
	await this.bodyRun?.stop();
	this.bodyEndpoint?.close();
	this.bodyServer?.close();
	this.bodyServer?.closeAllConnections();
	this.peerServer?.close();
	this.peerClient?.close();
});

const starters: Record<string, (world: BodyWorld) => Promise<void>> = {
	async callers(world) {
		const endpoint = await startScriptedEndpoint((socket, text) => {
			socket.write(formatAnswer(idOf(text), 'whole'));
		});
		world.bodyEndpoint = endpoint;
		world.bodyRun = new RunningGateway();
		await world.bodyRun.start([endpoint.address]);
		world.bodyAddress = world.bodyRun.listenAddress;
		world.bodyHead = 'POST /unsafe/x HTTP/1.1\r\nhost: h\r\nx-id: r1\r\n';
		world.countReceived = () => endpoint.requests.length;
	},
	async 'other instances'(world) {
		const [port] = await findFreePorts(1);
		let received = 0;
		world.bodyAddress = `127.0.0.1:${port}`;
		const started = await startPeerServer(world.bodyAddress, new Map([['/call', async () => {
			received += 1;
			return ok(true);
		}]]), () => undefined);
		world.bodyServer = started._unsafeUnwrap();
		world.bodyHead = 'POST /call HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\n';
		world.countReceived = () => received;
	},
};

Given('a server for the bodies of {string}', async function (this: BodyWorld, receiver: string) {
	await starters[receiver]!(this);
});

const formatRequest = (head: string, framing: string): string =>
	(framing === 'length' ? `${head}content-length: ${body.length}\r\n\r\n${body}` : `${head}transfer-encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`);

const openTo = (address: string): Socket => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	return socket;
};

When('bodies are cut before the end of their {string}, and their connections closed and reset', async function (this: BodyWorld, framing: string) {
	const whole = formatRequest(this.bodyHead, framing);
	const bodyAt = whole.indexOf('\r\n\r\n') + 4;
	const cuts = Array.from({length: whole.length - bodyAt}, (_, index) => whole.slice(0, bodyAt + index));
	await Promise.all(cuts.flatMap(text => [false, true].map(async isReset => {
		const socket = openTo(this.bodyAddress);
		await new Promise<void>(resolve => {
			socket.write(text, () => {
				resolve();
			});
		});
		if (isReset) {
			resetConnection(socket);
		} else {
			socket.end();
		}
	})));
	await waitFor(settleMs);
});

Then('nobody has received any of them', function (this: BodyWorld) {
	assert.equal(this.countReceived(), 0);
});

Then('a whole body is received', async function (this: BodyWorld) {
	const socket = openTo(this.bodyAddress);
	socket.write(formatRequest(this.bodyHead, 'length'));
	await waitUntil('it is received', async () => this.countReceived() === 1);
	socket.destroy();
});

Given('an instance that answers calls with {int} bytes of JSON, plain and compressed', function (this: BodyWorld, length: number) {
	const plain = Buffer.from(JSON.stringify({text: 'x'.repeat(length - '{"text":""}'.length)}));
	this.peerBodies = [{bytes: plain, coding: ''}, {bytes: deflateRawSync(plain), coding: 'content-encoding: deflate-raw\r\n'}];
	this.peerClient = new PeerClient();
});

/** Formats an answer whose body is cut; a length and chunks announce the whole. */
const formatCut = (bytes: Uint8Array, cut: number, coding: string, framing: string): Uint8Array => {
	const fields: Record<string, string> = {length: `content-length: ${bytes.length}\r\n`, chunks: 'transfer-encoding: chunked\r\n', neither: ''};
	const head = Buffer.from(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${coding}${fields[framing]}\r\n${framing === 'chunks' ? `${bytes.length.toString(16)}\r\n` : ''}`);
	return Buffer.concat([head, bytes.subarray(0, cut)]);
};

When('its answers are cut at every byte, with a length, in chunks and with neither, and their connections closed and reset', async function (this: BodyWorld) {
	const cuts = this.peerBodies.flatMap(({bytes, coding}) => ['length', 'chunks', 'neither'].flatMap(framing =>
		[false, true].flatMap(isReset => Array.from({length: bytes.length}, (_, cut) => ({answer: formatCut(bytes, cut, coding, framing), isReset})))));
	this.peerServer = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', chunk => {
			const {answer, isReset} = cuts[Number(/^POST \/(?<number>\d+)/v.exec(chunk.toString('latin1'))?.groups?.number)]!;
			socket.write(answer, () => {
				if (isReset) {
					resetConnection(socket);
				} else {
					socket.end();
				}
			});
		});
	});
	await new Promise<void>(resolve => {
		this.peerServer!.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${assumeType<AddressInfo>(this.peerServer.address()).port}`;
	this.peerResults = await cuts.reduce<Promise<boolean[]>>(async (before, _, index) => {
		const results = await before;
		const result = await this.peerClient!.call({
			address, path: `/${index}`, body: {}, idleTimeoutMs: 2000,
		});
		results.push(result.isErr());
		return results;
	}, Promise.resolve([]));
});

Then('each call fails', function (this: BodyWorld) {
	assert.ok(this.peerResults.length > 0);
	assert.deepEqual(this.peerResults.flatMap((hasFailed, index) => (hasFailed ? [] : [index])), []);
});
