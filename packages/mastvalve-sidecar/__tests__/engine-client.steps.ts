/**
 * Steps for the management side of an engine, with an engine that uses raw connections.
 */

import {strict as assert} from 'node:assert';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, waitFor} from 'mastvalve-utils';
import {EngineClient} from '../src/engine/engine-client.js';

type ManagedWorld = World & {managedEngine: Server; engineClient: EngineClient; statuses: string[][]; engineSockets: Socket[]; statusError: string};

/** Time in which everything sent on loopback arrives, ms. */
const settleMs = 20;

After(async function (this: ManagedWorld) {
	await this.engineClient?.close();
	this.engineSockets?.forEach(socket => {
		socket.destroy();
	});
	this.managedEngine?.close();
});

Given('an engine that sends each status once more in the place of the next one on its connection', async function (this: ManagedWorld) {
	let count = 0;
	this.managedEngine = createServer(socket => {
		let surplus = '';
		socket.on('error', () => undefined);
		socket.on('data', () => {
			count += 1;
			const loaded = Array.from({length: count}, (_, index) => `m${index + 1}`);
			const body = JSON.stringify({
				loaded, loading: [], capacity: 100, handled: [],
			});
			const answer = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
			socket.write(surplus + answer);
			surplus = answer;
		});
	});
	await new Promise<void>(resolve => {
		this.managedEngine.listen(0, '127.0.0.1', resolve);
	});
	const {port} = assumeType<AddressInfo>(this.managedEngine.address());
	this.engineClient = new EngineClient(`http://127.0.0.1:${port}`);
});

const piece = ' '.repeat(65_536);
/** Ends a status that isn't given up, bytes. */
const lastByte = 50_000_000;

/** Sends spaces, as fast as they are read. */
const sendWithoutEnd = (socket: Socket): void => {
	while (socket.writable && socket.bytesWritten < lastByte) {
		if (!socket.write(piece)) {
			socket.once('drain', () => {
				sendWithoutEnd(socket);
			});
			return;
		}
	}

	socket.end();
};

const startEngine = async (world: ManagedWorld, text: string): Promise<void> => {
	world.engineSockets = [];
	world.managedEngine = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			world.engineSockets.push(socket);
			socket.write(text);
			sendWithoutEnd(socket);
		});
	});
	await new Promise<void>(resolve => {
		world.managedEngine.listen(0, '127.0.0.1', resolve);
	});
	const {port} = assumeType<AddressInfo>(world.managedEngine.address());
	world.engineClient = new EngineClient(`http://127.0.0.1:${port}`);
};

const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';

Given('an engine that sends a status without end', async function (this: ManagedWorld) {
	await startEngine(this, `${head}connection: close\r\n\r\n{`);
});

Given('an engine that sends bytes without end behind its status', async function (this: ManagedWorld) {
	const body = JSON.stringify({
		loaded: ['m1'], loading: [], capacity: 100, handled: [],
	});
	await startEngine(this, `${head}content-length: ${body.length}\r\n\r\n${body}`);
});

When('its status is read', async function (this: ManagedWorld) {
	this.statusError = await this.engineClient.readStatus({term: 1, sequence: 1}).then(() => '', String);
});

Then('reading it fails with {string}', function (this: ManagedWorld, message: string) {
	assert.ok(this.statusError.includes(message), this.statusError);
});

Then('the engine has sent fewer than {int} bytes', async function (this: ManagedWorld, bytes: number) {
	await waitFor(settleMs);
	const sent = this.engineSockets.map(({bytesWritten}) => bytesWritten);
	assert.ok(sent.every(count => count < bytes), `${sent.join(', ')} bytes`);
});

When('its status is read {int} times', async function (this: ManagedWorld, times: number) {
	this.statuses = await Array.from({length: times}).reduce<Promise<string[][]>>(async before => {
		const statuses = await before;
		const {loaded} = await this.engineClient.readStatus({term: 1, sequence: 1});
		await waitFor(settleMs);
		return [...statuses, loaded];
	}, Promise.resolve([]));
});

Then('the statuses say that it holds {string}, {string} and {string}', function (this: ManagedWorld, first: string, second: string, third: string) {
	assert.deepEqual(this.statuses.map(loaded => loaded.join(' ')), [first, second, third]);
});
