/**
 * Steps for what callers send on the connections of a program's server beside whole requests.
 */

import {strict as assert} from 'node:assert';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	After, Given, Then, When, type DataTable, type World,
} from '@cucumber/cucumber';
import {Hono} from 'hono';
import {waitFor, type ConnectionFault} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {startServer, type RunningServer} from '../src/server.js';

/** A connection with all that was received on it. */
type Caller = {name: string; socket: Socket; received: string};
type ServerWorld = World & {ownServer: RunningServer; ownCallers: Caller[]; ownFaults: ConnectionFault[]; requestHeaders: Headers[]};

const headCheckMs = 20;
const lastBody = 'the last byte.';
const tooLargeBytes = 20_000;

const request = (more = ''): string => `POST /loans HTTP/1.1\r\nhost: h\r\n${more}content-length: 2\r\n\r\nhi`;

const manners = new Map<string, string>([
	['a part of a request line', 'PO'],
	['a part of a head', 'POST /loans HTTP/1.1\r\nhost: '],
	['bytes that are no request', '\u0000\u0001 no request\r\n\r\n'],
	['a head that is too large', `POST /loans HTTP/1.1\r\nx: ${'y'.repeat(tooLargeBytes)}`],
	['a chunk without a length', 'POST /loans HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n'],
	['a request to open a tunnel', 'CONNECT h:1 HTTP/1.1\r\nhost: h\r\n\r\n'],
]);

const open = async (world: ServerWorld, name: string): Promise<Caller> => {
	const [host, port] = world.ownServer.address.split(':');
	const socket = connect(Number(port), host);
	const caller: Caller = {name, socket, received: ''};
	socket.on('data', chunk => {
		caller.received += chunk.toString('latin1');
	});
	socket.on('error', () => undefined);
	world.ownCallers.push(caller);
	await once(socket, 'connect');
	return caller;
};

const listStatuses = ({received}: Caller): number[] => [...received.matchAll(/HTTP\/1\.1 (?<status>\d+)/gv)].map(({groups}) => Number(groups?.status));

/** Statuses of what callers send behind a request, where it is a request of its own. */
const laterStatuses = new Map([['a chunk without a length', [400]]]);

const isAnswered = (caller: Caller): boolean =>
	caller.received.includes(lastBody) && JSON.stringify(listStatuses(caller)) === JSON.stringify([200, ...laterStatuses.get(caller.name) ?? []]);

const listNames = (table: DataTable): string[] => table.raw().map(([name = '']) => name);

Given('a program that answers after {int} ms and takes a head for at most {int} ms', async function (this: ServerWorld, delayMs: number, headTimeoutMs: number) {
	this.ownCallers = [];
	this.ownFaults = [];
	this.requestHeaders = [];
	const app = new Hono();
	app.post('/loans', async c => {
		await c.req.text();
		this.requestHeaders.push(c.req.raw.headers);
		await waitFor(delayMs);
		return c.text(lastBody);
	});
	const started = await startServer(app, '127.0.0.1:0', {
		headTimeoutMs,
		headCheckMs,
		onFault: fault => {
			this.ownFaults.push(fault);
		},
	});
	this.ownServer = started._unsafeUnwrap();
});

When('callers of it send these behind a request', async function (this: ServerWorld, table: DataTable) {
	await Promise.all(listNames(table).map(async name => {
		const {socket} = await open(this, name);
		socket.write(request());
	}));
	await waitUntil('the requests run', async () => this.requestHeaders.length === this.ownCallers.length);
	this.ownCallers.forEach(({name, socket}) => {
		socket.write(manners.get(name) ?? '');
	});
});

When('callers of it send only these', async function (this: ServerWorld, table: DataTable) {
	await Promise.all(listNames(table).map(async name => {
		const {socket} = await open(this, name);
		socket.write(manners.get(name) ?? '');
	}));
});

When('a caller of it sends a request with {int} fields before its idempotency key', async function (this: ServerWorld, count: number) {
	const {socket} = await open(this, 'fields');
	socket.write(request(`${'a:\r\n'.repeat(count)}idempotency-key: k-1\r\n`));
});

When('a caller of it sends a request that expects something unknown', async function (this: ServerWorld) {
	const {socket} = await open(this, 'expects');
	socket.write(request('expect: later\r\n'));
});

Then('each caller of it gets the whole answer to its request', async function (this: ServerWorld) {
	await waitUntil('all answers have ended', async () => this.ownCallers.every(caller => isAnswered(caller) || listStatuses(caller)[0] !== 200 || caller.socket.closed)
		&& this.ownCallers.every(caller => listStatuses(caller).length > 0 || caller.socket.closed));
	assert.deepEqual(this.ownCallers.filter(caller => !isAnswered(caller)).map(({name, received}) => `${name}: ${JSON.stringify(received.slice(0, 40))}`), []);
});

Then('faults of its connections are recorded with the request that was unanswered, but for the last', function (this: ServerWorld) {
	assert.equal(this.ownFaults.length, this.ownCallers.length - 1);
	assert.ok(this.ownFaults.every(({unanswered}) => unanswered.length === 1));
});

Then('the connections of its callers are closed behind the answer, but for the last', async function (this: ServerWorld) {
	await waitUntil('the connections are closed', async () => this.ownCallers.every(({name, socket}) => name === 'nothing' || socket.closed));
	assert.equal(this.ownCallers.at(-1)?.socket.closed, false);
});

Then('its callers get the statuses {int}, {int} and {int}, and their connections are closed', async function (this: ServerWorld, first: number, second: number, third: number) {
	await waitUntil('the connections are closed', async () => this.ownCallers.every(({socket}) => socket.closed));
	assert.deepEqual(this.ownCallers.map(caller => listStatuses(caller)), [[first], [second], [third]]);
});

Then('the program has read the idempotency key', async function (this: ServerWorld) {
	await waitUntil('the request is read', async () => this.requestHeaders.length > 0);
	assert.equal(this.requestHeaders[0]?.get('idempotency-key'), 'k-1');
});

After(async function (this: ServerWorld) {
	this.ownCallers?.forEach(({socket}) => {
		socket.destroy();
	});
	await this.ownServer?.close();
});
