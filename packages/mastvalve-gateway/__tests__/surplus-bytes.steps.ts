/**
 * Steps for bytes that endpoints send behind their answers.
 */

import {strict as assert} from 'node:assert';
import type {Socket} from 'node:net';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {
	formatAnswer, idOf, startScriptedEndpoint, type ScriptedEndpoint,
} from './__fixtures__/scripted-endpoint.js';

type SurplusWorld = World & {surplusRun: RunningGateway; surplusEndpoint: ScriptedEndpoint; forms: string[]; received: Received[]; readText: () => string};

const event = 'id: 1\ndata: whole\n\n';
const longBody = 'x'.repeat(1_000_000);
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const head = (id: string, fields: string, status = '200 OK'): string => `HTTP/1.1 ${status}\r\nx-id: ${id}\r\n${fields}\r\n`;
const eventStream = 'content-type: text/event-stream\r\n';
const chunked = 'transfer-encoding: chunked\r\n';

/** Whole answers by the last part of their paths. */
const wholeAnswers = new Map<string, (id: string) => string>([
	['length', id => formatAnswer(id, event)],
	['close', id => formatAnswer(id, event, '200 OK', 'connection: close\r\n')],
	['chunks', id => `${head(id, chunked)}${chunk(event)}0\r\n\r\n`],
	['event-length', id => formatAnswer(id, event, '200 OK', eventStream)],
	['event-chunks', id => `${head(id, chunked + eventStream)}${chunk(event)}0\r\n\r\n`],
	['no-content', id => head(id, '', '204 No Content')],
]);
/** Answers that end before what they announce. */
const cutAnswers = new Map<string, (id: string) => string>([
	['cut-chunks', id => `${head(id, chunked)}${chunk(event)}`],
	['cut-event-chunks', id => `${head(id, chunked + eventStream)}${chunk(event)}`],
	['cut-event', id => `${head(id, chunked + eventStream)}${chunk('data: ')}0\r\n\r\n`],
]);
const longAnswers = new Map<string, (id: string) => string>([['long', id => formatAnswer(id, longBody)]]);
const answers = new Map([...wholeAnswers, ...cutAnswers, ...longAnswers]);

const writeWithoutEnd = (socket: Socket): void => {
	if (!socket.destroyed) {
		socket.write('z'.repeat(65_536), () => {
			writeWithoutEnd(socket);
		});
	}
};

const surpluses: Record<string, string> = {
	'bytes that are no answer': '\u0000\u0001 no answer\r\n\r\n',
	'another answer': formatAnswer('other', 'other'),
	'interim heads': 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(10),
	'bytes without end': 'zz',
};

const start = async (world: SurplusWorld, surplus: string, delayMs: number): Promise<void> => {
	world.received = [];
	world.surplusEndpoint = await startScriptedEndpoint((socket, text) => {
		const form = /^\w+ \/\w+\/(?<form>\S+)/v.exec(text)!.groups!.form!;
		const answer = answers.get(form)!(idOf(text));
		if (delayMs === 0) {
			socket.write(answer + surpluses[surplus]!);
		} else {
			socket.write(answer);
			setTimeout(() => {
				socket.write(surpluses[surplus]!);
			}, delayMs);
		}

		if (surplus === 'bytes without end') {
			writeWithoutEnd(socket);
		}
	});
	world.surplusRun = new RunningGateway();
	await world.surplusRun.start([world.surplusEndpoint.address]);
};

After(async function (this: Partial<SurplusWorld>) {
	await this.surplusRun?.stop();
	this.surplusEndpoint?.close();
});

Given('an endpoint whose answers are followed at once by {string}', async function (this: SurplusWorld, surplus: string) {
	await start(this, surplus, 0);
});

Given('an endpoint whose answers are followed after {int} ms by {string}', async function (this: SurplusWorld, delayMs: number, surplus: string) {
	await start(this, surplus, delayMs);
});

/** Asks for each form on each kind of route, one after the other. */
const askFor = async (world: SurplusWorld, forms: Iterable<string>, kinds: readonly string[]): Promise<void> => {
	world.forms = [...forms].flatMap(form => kinds.map(kind => `/${kind}/${form}`));
	world.received = await world.forms.reduce<Promise<Received[]>>(async (before, path) => [...await before, await world.surplusRun.callAnew(path)], Promise.resolve([]));
};

When('callers ask for whole answers of each form', async function (this: SurplusWorld) {
	await askFor(this, wholeAnswers.keys(), ['safe', 'unsafe', 'draft', 'stream']);
});

When('callers ask for answers that are cut before their ends', async function (this: SurplusWorld) {
	await askFor(this, cutAnswers.keys(), ['unsafe', 'draft']);
});

Then('each gets its whole answer', function (this: SurplusWorld) {
	const broken = this.received.flatMap(({isWhole, status, body}, index) => (isWhole && (status === 204 || (status === 200 && body === event)) ? [] : [this.forms[index]]));
	assert.deepEqual(broken, [], `${broken.length} of ${this.received.length}`);
});

Then('none of them gets a whole answer', function (this: SurplusWorld) {
	assert.deepEqual(this.received.filter(({isWhole}) => isWhole), []);
});

Then('no connection to the endpoint is used again', function (this: SurplusWorld) {
	assert.equal(this.surplusEndpoint.connections(), this.surplusEndpoint.requests.length);
	assert.equal(this.surplusEndpoint.requests.length, this.forms.length);
});

Then('a failure of the endpoint is recorded for each', function (this: SurplusWorld) {
	assert.equal(this.surplusRun.failures.length, this.forms.length);
});

When('a caller begins to read a long answer after {int} ms', async function (this: SurplusWorld, delayMs: number) {
	const connection = this.surplusRun.connect(false);
	connection.send('/unsafe/long');
	await waitFor(delayMs);
	connection.startReading();
	this.readText = connection.readText;
});

Then('it gets the long answer', async function (this: SurplusWorld) {
	await waitUntil('the answer is whole', async () => this.readText().endsWith(longBody));
});

Then('the next request is sent on a new connection', async function (this: SurplusWorld) {
	const {status, isWhole} = await this.surplusRun.callAnew('/unsafe/length');
	assert.deepEqual({status, isWhole}, {status: 200, isWhole: true});
	assert.equal(this.surplusEndpoint.connections(), 2);
});
