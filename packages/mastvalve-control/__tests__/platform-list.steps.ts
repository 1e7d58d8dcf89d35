/**
 * Steps for the platform's list, with a platform that uses raw connections.
 */

import {strict as assert} from 'node:assert';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {assumeType, waitFor} from 'mastvalve-utils';
import type {ListedInstance} from '../src/server/endpoint-watch.js';
import {fetchList} from '../src/server/fetch-list.js';

type ListWorld = World & {platform: Server; platformSockets: Socket[]; listed: ListedInstance[] | undefined; lines: string[]};

const settleMs = 50;
/** Ends a list that isn't given up, bytes. */
const lastByte = 50_000_000;
const piece = ' '.repeat(65_536);
const one = JSON.stringify([{id: 'engine-1', state: 'live'}]);

const format = (status: number, fields: string, body: string): string => `HTTP/1.1 ${status} Status\r\ncontent-type: application/json\r\n${fields}\r\n\r\n${body}`;

const answers = new Map([
	['a body without end', format(200, 'connection: close', '[')],
	['JSON that breaks off', format(200, 'content-length: 1', '[')],
	['an object', format(200, 'content-length: 2', '{}')],
	['a status of trouble', format(503, 'content-length: 2', '[]')],
	['whole, with bytes behind it', `${format(200, `content-length: ${one.length}`, one)}${piece}`],
]);

const sendUntilClosed = (socket: Socket): void => {
	while (socket.writable && socket.bytesWritten < lastByte) {
		if (!socket.write(piece)) {
			socket.once('drain', () => {
				sendUntilClosed(socket);
			});
			return;
		}
	}

	socket.end();
};

Given('a platform whose list is {string}', async function (this: ListWorld, list: string) {
	this.platformSockets = [];
	this.platform = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			this.platformSockets.push(socket);
			socket.write(answers.get(list)!);
			if (list === 'a body without end') {
				sendUntilClosed(socket);
			}
		});
	});
	await new Promise<void>(resolve => {
		this.platform.listen(0, '127.0.0.1', resolve);
	});
});

When('control fetches the list', async function (this: ListWorld) {
	const {port} = assumeType<AddressInfo>(this.platform.address());
	this.lines = [];
	this.listed = await fetchList(`http://127.0.0.1:${port}`, line => {
		this.lines.push(line);
	});
});

Then('it has no list, and a line that says {string}', function (this: ListWorld, reason: string) {
	assert.equal(this.listed, undefined);
	assert.equal(this.lines.length, 1);
	assert.ok(this.lines[0]?.includes(reason), this.lines[0]);
});

Then('the platform has sent fewer than {int} bytes', async function (this: ListWorld, bytes: number) {
	await waitFor(settleMs);
	const sent = this.platformSockets.map(({bytesWritten}) => bytesWritten);
	assert.ok(sent.every(count => count < bytes), `${sent.join(', ')} bytes`);
});

Then('it has {int} instance', function (this: ListWorld, count: number) {
	assert.equal(this.listed?.length, count, this.lines.join(' '));
});

After(async function (this: ListWorld) {
	this.platformSockets?.forEach(socket => {
		socket.destroy();
	});
	this.platform?.close();
});
