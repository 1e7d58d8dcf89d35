/**
 * Steps for the management side of an engine, with an engine that uses raw connections.
 */

import {strict as assert} from 'node:assert';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, waitFor} from 'mastvalve-utils';
import {EngineClient} from '../src/engine/engine-client.js';

type ManagedWorld = World & {managedEngine: Server; engineClient: EngineClient; statuses: string[][]};

/** Time in which everything sent on loopback arrives, ms. */
const settleMs = 20;

After(async function (this: ManagedWorld) {
	await this.engineClient?.close();
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
