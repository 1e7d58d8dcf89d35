/**
 * Steps for streams that can't be finished, as callers get them from a server of ours.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {Readable} from 'node:stream';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {Hono} from 'hono';
import {startServer, type RunningServer} from 'mastvalve-http';
import {UnknownOutcomeError} from 'mastvalve-types';
import {err} from 'neverthrow';
import {createStreamBody} from '../src/requests/stream-answer.js';

type BrokenStreamsWorld = World & {streamServer: RunningServer; streams: string[]};

const lastChunk = '\r\n0\r\n\r\n';

/** The events of an endpoint's answer, which then breaks off. */
async function * breakOffAfter(count: number): AsyncGenerator<Uint8Array> {
	yield * Array.from({length: count}, (_, index) => Buffer.from(`data: {"choices":[{"text":"${index}"}]}\n\n`));
	throw new UnknownOutcomeError('broken');
}

Given('an entry that streams an answer that breaks off after {int} events', async function (this: BrokenStreamsWorld, count: number) {
	const app = new Hono();
	app.get('/', () => new Response(createStreamBody({
		status: 200, headers: {}, body: Readable.from(breakOffAfter(count)), cancel: () => undefined,
	}, {
		mayResume: () => false,
		resume: async () => err(new UnknownOutcomeError('none')),
		onAttemptEnd: () => undefined,
		onEnd: () => undefined,
	}), {headers: {'content-type': 'text/event-stream'}}));
	const started = await startServer(app, '127.0.0.1:0');
	this.streamServer = started._unsafeUnwrap();
});

When('{int} callers read it', async function (this: BrokenStreamsWorld, count: number) {
	const [host, port] = this.streamServer.address.split(':');
	this.streams = await Promise.all(Array.from({length: count}, async () => new Promise<string>(resolve => {
		let received = '';
		const socket = connect(Number(port), host);
		socket.on('data', chunk => {
			received += chunk.toString();
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			resolve(received);
		});
		socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
	})));
});

Then('each of them gets {int} events, an error event and a cut connection', function (this: BrokenStreamsWorld, count: number) {
	const seen = this.streams.map(text => `${text.split('"choices"').length - 1} events, ${text.split('"error"').length - 1} errors, ${text.endsWith(lastChunk) ? 'ended' : 'cut'}`);
	assert.deepEqual([...new Set(seen)], [`${count} events, 1 errors, cut`]);
});

After(async function (this: BrokenStreamsWorld) {
	await this.streamServer?.close();
});
