/**
 * Steps for connections whose requests don't come.
 */

import {strict as assert} from 'node:assert';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	After, Then, When, type World,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import type {EntriesAndControl} from './__fixtures__/entries-and-control.js';

type SilentWorld = World & {following: EntriesAndControl; silent: Socket[]; kept: Socket; /** What the kept connection has received. */ answers: string};

const partialHeader = 'POST /safe/x HTTP/1.1\r\nhost: h\r\nx-id: par';
/** A request that no route matches is answered without an endpoint. */
const wholeRequest = 'GET /elsewhere HTTP/1.1\r\nhost: h\r\nx-id: whole\r\n\r\n';
const answerStart = 'HTTP/1.1 404';

const open = async (address: string, text: string): Promise<Socket> => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(text);
	socket.resume();
	return socket;
};

const openAll = async (address: string, count: number, text: string): Promise<Socket[]> => Promise.all(Array.from({length: count}, async () => open(address, text)));

When('{int} connections send nothing, {int} send a part of a header, and {int} is kept after an answer', async function (this: SilentWorld, silent: number, partial: number, _kept: number) {
	const address = this.following.addressOf(0);
	this.kept = await open(address, '');
	this.answers = '';
	this.kept.on('data', chunk => {
		this.answers += chunk.toString('latin1');
	});
	await askAgain(this, 1);
	this.silent = [...await openAll(address, silent, ''), ...await openAll(address, partial, partialHeader)];
});

const askAgain = async (world: SilentWorld, count: number): Promise<void> => {
	world.kept.write(wholeRequest);
	await waitUntil(`${count} answers have arrived`, async () => world.answers.split(answerStart).length - 1 === count);
};

Then('after {int} s and {int} s more the first {int} are closed, and the kept one serves another request', async function (this: SilentWorld, limitSeconds: number, marginSeconds: number, count: number) {
	await waitFor((limitSeconds + marginSeconds) * 1000);
	assert.equal(this.silent.length, count);
	assert.equal(this.silent.filter(({closed}) => closed).length, count);
	await askAgain(this, 2);
});

After(function (this: SilentWorld) {
	[...this.silent ?? [], ...this.kept ? [this.kept] : []].forEach(socket => {
		socket.destroy();
	});
});
