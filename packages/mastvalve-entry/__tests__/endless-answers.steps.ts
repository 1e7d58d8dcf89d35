/**
 * Steps for answers without end, with a sidecar that uses raw connections.
 */

import {strict as assert} from 'node:assert';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {EndpointState, Priority, type Endpoint} from 'mastvalve-types';
import {assumeType, HybridClock, waitFor} from 'mastvalve-utils';
import {Agent} from 'undici';
import {openAttempt} from '../src/requests/attempt.js';
import {streamAnswer} from '../src/requests/stream-answer.js';
import {readWhole, type ReadingParts} from '../src/server/model-routes.js';

type EndlessWorld = World & {endlessServer: Server; sockets: Socket[]; agent: Agent; failure: {code: string; message: string} | undefined};

const maxAnswerBytes = 1_000_000;
/** Ends an answer that isn't given up, bytes. */
const lastByte = 50_000_000;
const settleMs = 50;
const piece = 'y'.repeat(65_536);
const formatHead = (fields: string): string => `HTTP/1.1 200 OK\r\n${fields}\r\nconnection: close\r\n\r\n`;

const heads = new Map([
	['a body without end', formatHead('content-type: application/json')],
	['an event without end', `${formatHead('content-type: text/event-stream')}data: `],
	['a refusal without end', formatHead('content-type: application/problem+json\r\nmastvalve-outcome: not-run')],
	['a head without end', 'HTTP/1.1 200 OK\r\nx: '],
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

Given('a sidecar that answers with {string}', async function (this: EndlessWorld, content: string) {
	this.sockets = [];
	this.endlessServer = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			this.sockets.push(socket);
			socket.write(heads.get(content)!);
			sendUntilClosed(socket);
		});
	});
	await new Promise<void>(resolve => {
		this.endlessServer.listen(0, '127.0.0.1', resolve);
	});
});

const collect = async (stream: AsyncIterable<Uint8Array>): Promise<void> => {
	const iterator = stream[Symbol.asyncIterator]();
	let next = await iterator.next();
	while (!next.done) {
		// Each piece comes after the one before it.
		// eslint-disable-next-line no-await-in-loop
		next = await iterator.next();
	}
};

When('an entry reads its answer as {string}', async function (this: EndlessWorld, kind: string) {
	const {port} = assumeType<AddressInfo>(this.endlessServer.address());
	this.agent = new Agent({headersTimeout: 0, bodyTimeout: 0});
	const endpoint: Endpoint = {
		id: 'desk-1', service: 'desk', failureDomain: 'a', address: `http://127.0.0.1:${port}`, capacity: 0, processId: 'p', incarnation: 1, state: EndpointState.Live,
	};
	const now = performance.now();
	const opened = await openAttempt({
		requestId: 'r-1',
		service: 'desk',
		model: undefined,
		priority: Priority.Standard,
		deadlineAt: now + 20_000,
		method: 'POST',
		path: '/x',
		headers: {},
		body: new Uint8Array(),
		prefixes: [],
		isRepeatable: false,
		signal: new AbortController().signal,
	}, {
		endpoint, agent: this.agent, hybridClock: new HybridClock(Date.now), now, resumeAfter: 0,
	});
	const parts: ReadingParts = {
		policy: {maxAnswerBytes},
		context: assumeType<ReadingParts['context']>({timeline: {record: () => undefined}}),
		table: {recordEnd: () => undefined, recordFailure: () => undefined},
	};
	if (opened.isErr()) {
		this.failure = opened.error;
	} else if (kind === 'whole') {
		const read = await readWhole(parts, 'r-1', {...opened.value, endpoint});
		this.failure = read.isErr() ? read.error : undefined;
	} else {
		await collect(streamAnswer(opened.value, {
			mayResume: () => false,
			resume: async () => opened,
			onAttemptEnd: () => undefined,
			onEnd: (_tokens, error) => {
				this.failure = error;
			},
		})).catch(() => undefined);
	}
});

Then('the answer is an error {string} that tells its bound', function (this: EndlessWorld, code: string) {
	assert.equal(this.failure?.code, code);
	assert.match(this.failure?.message ?? '', /larger than \d+ bytes|more than \d+ characters|Headers Overflow/v);
});

Then('the entry has closed the connection after at most {int} bytes', async function (this: EndlessWorld, bytes: number) {
	await waitFor(settleMs);
	assert.deepEqual(this.sockets.map(({destroyed}) => destroyed), [true]);
	assert.ok((this.sockets[0]?.bytesWritten ?? 0) <= bytes, `${this.sockets[0]?.bytesWritten} bytes sent`);
});

After(async function (this: EndlessWorld) {
	this.sockets?.forEach(socket => {
		socket.destroy();
	});
	this.endlessServer?.close();
	await this.agent?.destroy();
});
