/**
 * Steps for streams that break off, with endpoints and callers that use raw connections.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {
	After, Before, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {waitFor} from 'mastvalve-utils';
import {resetConnection} from '../../../features/support/reset-connection.js';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {idOf, startScriptedEndpoint, type ScriptedEndpoint} from './__fixtures__/scripted-endpoint.js';
import {
	brokenStreams, compress, formatParts, framings, wholeStreams, type AnswerBytes, type Framing,
} from './__fixtures__/stream-answers.js';

/** One request: the answer that it gets, and what it is called in messages. */
type StreamCase = {title: string; answer: Omit<AnswerBytes, 'id'>; method?: string};

type StreamWorld = World & {
	streamEndpoints: ScriptedEndpoint[];
	streamRun: RunningGateway;
	streams: Record<string, string>;
	/** Cases by the number in the path of their request. */
	cases: StreamCase[];
	streamResults: Received[];
	rawResults: RawAnswer[];
};

/** What a raw caller received, and whether its connection ended regularly. */
type RawAnswer = {body: Uint8Array; isReset: boolean};

const wholeBytes = Number.POSITIVE_INFINITY;
/** Time between the parts of an answer, ms; long enough for them to arrive one by one. */
const partPauseMs = 2;
const partBytes = 5;
/** Streams above this length are sent in one part, bytes. */
const maxSplitBytes = 200;

const sendParts = async (socket: Socket, parts: readonly Uint8Array[], framing: Framing): Promise<void> => {
	await parts.reduce<Promise<void>>(async (before, part) => {
		await before;
		await new Promise<void>(resolve => {
			socket.write(part, () => {
				resolve();
			});
		});
		await waitFor(parts.length > 2 ? partPauseMs : 0);
	}, Promise.resolve());
	if (framing === 'nothing, then closes') {
		socket.end();
	} else if (framing === 'nothing, then resets') {
		await waitFor(partPauseMs);
		resetConnection(socket);
	}
};

Before(function (this: StreamWorld) {
	this.streamEndpoints = [];
	this.streamResults = [];
	this.rawResults = [];
	this.cases = [];
});

After(async function (this: StreamWorld) {
	this.streamEndpoints.forEach(endpoint => {
		endpoint.close();
	});
	await this.streamRun?.stop();
});

/** Starts an endpoint that answers a request for `/route/N` with case N. */
const startCaseEndpoint = async (world: StreamWorld): Promise<void> => {
	world.streamEndpoints.push(await startScriptedEndpoint((socket, text) => {
		const number = Number(/^\S+ \/[a-z]+\/(?<number>\d+)/v.exec(text)?.groups?.number);
		const {answer} = world.cases[number]!;
		const size = answer.body.length > maxSplitBytes || number % 2 === 0 ? wholeBytes : partBytes;
		void sendParts(socket, formatParts({...answer, id: idOf(text)}, Math.min(size, Math.max(1, answer.body.length))), answer.framing);
	}));
};

const createCases = (streams: Record<string, string>, used: readonly Framing[]): StreamCase[] =>
	Object.entries(streams).flatMap(([name, body]) => used.map(framing => ({title: `${name}, framed by ${framing}`, answer: {body: Buffer.from(body, 'latin1'), framing}})));

const open = async (world: StreamWorld): Promise<void> => {
	world.streamRun = new RunningGateway();
	await world.streamRun.start(world.streamEndpoints.map(({address}) => address));
};

/** Requests cases one after the other; the endpoint that sends them is chosen first, since it is the nearest. */
const callCases = async (world: StreamWorld, routeNames: readonly string[]): Promise<void> => {
	await routeNames.flatMap(route => world.cases.map((streamCase, index) => ({route, index, method: streamCase.method}))).reduce<Promise<void>>(async (before, {route, index, method}) => {
		await before;
		world.streamResults.push(await world.streamRun.call(`/${route}/${index}`, {agent: false, ...(method === undefined ? {} : {method})}));
	}, Promise.resolve());
};

Given('an endpoint that sends streams that end inside an event', async function (this: StreamWorld) {
	this.streams = brokenStreams;
	await startCaseEndpoint(this);
});

Given('another endpoint that sends the following events', async function (this: StreamWorld) {
	const following: Record<string, string> = {'': 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', 1: 'id: 2\ndata: b\n\n'};
	this.streamEndpoints.push(await startScriptedEndpoint((socket, text) => {
		const after = /x-resume: (?<after>\d+)/iv.exec(text)?.groups?.after ?? '';
		const body = Buffer.from(following[after]!);
		void sendParts(socket, formatParts({id: idOf(text), body, framing: 'chunks'}, body.length), 'chunks');
	}));
});

Given('an endpoint that sends whole streams', async function (this: StreamWorld) {
	this.streams = wholeStreams;
	await startCaseEndpoint(this);
});

When('a caller requests each stream with each framing on the route {string}', async function (this: StreamWorld, route: string) {
	this.cases = createCases(this.streams, framings);
	await open(this);
	await callCases(this, [route]);
});

When('a caller requests each stream with each framing but a reset on the routes {string} and {string}', async function (this: StreamWorld, first: string, second: string) {
	this.cases = createCases(this.streams, framings.filter(framing => framing !== 'nothing, then resets'));
	await open(this);
	await callCases(this, [first, second]);
});

const titleOf = (world: StreamWorld, index: number): string => world.cases[index % world.cases.length]!.title;

Then('no caller gets a complete answer', function (this: StreamWorld) {
	assert.deepEqual(this.streamResults.flatMap(({isWhole}, index) => (isWhole ? [titleOf(this, index)] : [])), []);
});

Then('each answer is logged as broken, and none as whole', function (this: StreamWorld) {
	assert.equal(this.streamRun.logged.filter(kind => kind === 'answer.broken').length, this.cases.length);
	assert.equal(this.streamRun.logged.includes('request.answered'), false);
});

When('a caller requests each stream that may be resumed with each framing on the route {string}', async function (this: StreamWorld, route: string) {
	const resumable = Object.entries(this.streams).filter(([name, body]) => body.startsWith('id: 1') && body.length < maxSplitBytes && !name.includes('CR') && !name.includes('comment'));
	this.cases = createCases(Object.fromEntries(resumable), framings);
	await open(this);
	await callCases(this, [route]);
});

Then('each caller gets the events once and whole', function (this: StreamWorld) {
	this.streamResults.forEach(({body, isWhole}, index) => {
		assert.deepEqual({body, isWhole}, {body: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', isWhole: true}, titleOf(this, index));
	});
});

Then('each caller gets its whole stream as complete', function (this: StreamWorld) {
	this.streamResults.forEach(({body, isWhole}, index) => {
		const sent = this.cases[index % this.cases.length]!.answer.body;
		assert.equal(isWhole, true, titleOf(this, index));
		assert.equal(body, Buffer.from(sent).toString(), titleOf(this, index));
	});
});

/** Sends a request of HTTP/1.0 and reads until the connection ends. */
const callRaw = async (address: string, path: string, id: string): Promise<RawAnswer> =>
	new Promise(resolve => {
		const [host, port] = address.split(':');
		const socket = connect(Number(port), host);
		const chunks: Uint8Array[] = [];
		let isReset = false;
		socket.on('data', chunk => {
			chunks.push(chunk);
		});
		// The reset may arrive together with the last bytes, in which case only the address of the peer tells it.
		socket.on('end', () => {
			isReset ||= socket.remoteAddress === undefined;
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.once('close', () => {
			const bytes = Buffer.concat(chunks);
			resolve({body: bytes.subarray(bytes.indexOf('\r\n\r\n') + 4), isReset});
		});
		socket.write(`POST ${path} HTTP/1.0\r\nhost: h\r\nx-id: ${id}\r\ncontent-length: 0\r\n\r\n`);
	});

const callRawCases = async (world: StreamWorld, route: string): Promise<void> => {
	world.rawResults = await world.cases.reduce<Promise<RawAnswer[]>>(async (before, _, index) => {
		const results = await before;
		return [...results, await callRaw(world.streamRun.listenAddress, `/${route}/${index}`, `raw${index}`)];
	}, Promise.resolve([]));
};

When(String.raw`a caller of HTTP\/1.0 requests each stream with each framing on the route {string}`, async function (this: StreamWorld, route: string) {
	this.cases = createCases(this.streams, framings);
	await open(this);
	await callRawCases(this, route);
});

When('an endpoint that sends whole streams takes its place', async function (this: StreamWorld) {
	this.streams = wholeStreams;
	this.streamEndpoints.pop()?.close();
	await startCaseEndpoint(this);
	this.streamRun.setEndpoints(this.streamEndpoints.map(({address}) => address));
});

When(String.raw`a caller of HTTP\/1.0 requests each stream with each framing but a reset on the route {string}`, async function (this: StreamWorld, route: string) {
	this.cases = createCases(this.streams, framings.filter(framing => framing !== 'nothing, then resets'));
	await callRawCases(this, route);
});

Then('each of its connections is reset', function (this: StreamWorld) {
	assert.deepEqual(this.rawResults.flatMap(({isReset}, index) => (isReset ? [] : [titleOf(this, index)])), []);
});

Then('each of its connections ends regularly after the whole stream', function (this: StreamWorld) {
	this.rawResults.forEach(({body, isReset}, index) => {
		assert.equal(isReset, false, titleOf(this, index));
		assert.deepEqual(Buffer.from(body), Buffer.from(this.cases[index]!.answer.body), titleOf(this, index));
	});
});

Given('an endpoint that sends bodies that are no readable event streams', async function (this: StreamWorld) {
	await startCaseEndpoint(this);
	const problem = Buffer.from('{"error":"model not found"}');
	const stream = Buffer.from('data: a\n\nda');
	const empty = Buffer.alloc(0);
	this.cases = framings.filter(framing => framing !== 'nothing, then resets').flatMap((framing): StreamCase[] => [
		{
			title: `a JSON error, framed by ${framing}`, answer: {
				body: problem, framing, contentType: 'application/json', status: '400 Bad Request',
			},
		},
		{title: `text, framed by ${framing}`, answer: {body: stream, framing, contentType: 'text/plain'}},
		{title: `a compressed stream, framed by ${framing}`, answer: {body: compress('data: a\n\n'), framing, more: 'content-encoding: gzip\r\n'}},
	]);
	this.cases.push(
		{title: 'HEAD', method: 'HEAD', answer: {body: empty, framing: 'nothing, then closes'}},
		{title: '204', answer: {body: empty, framing: 'nothing, then closes', status: '204 No Content'}},
		{title: '304', answer: {body: empty, framing: 'nothing, then closes', status: '304 Not Modified'}},
		{title: 'a body that declares no type, with a length', answer: {body: stream, framing: 'a length', contentType: ''}},
		{title: 'an empty stream with a length', answer: {body: empty, framing: 'a length'}},
		{title: 'an empty stream in chunks', answer: {body: empty, framing: 'chunks'}},
	);
});

When('a caller requests each of them on the routes {string} and {string}', async function (this: StreamWorld, first: string, second: string) {
	await open(this);
	await callCases(this, [first, second]);
});

Then('each caller gets its answer as complete', function (this: StreamWorld) {
	assert.deepEqual(this.streamResults.flatMap(({isWhole}, index) => (isWhole ? [] : [titleOf(this, index)])), []);
});

/** Units of bodies that nothing frames, with their content types. */
const unframedUnits: Record<string, {text: string; contentType: string}> = {
	events: {text: 'data: a\n\n', contentType: 'text/event-stream'},
	lines: {text: 'a line\n', contentType: 'text/plain'},
};

Given('an endpoint that sends {int} {word} with nothing framing them, closes the connection and {string}', async function (this: StreamWorld, count: number, unit: string, fate: string) {
	const {text: unitText, contentType} = unframedUnits[unit]!;
	const body = unitText.repeat(count);
	const endpoint = await startScriptedEndpoint((socket, text) => {
		if (!fate.startsWith('listens on')) {
			endpoint.stopListening();
		}

		if (fate.endsWith('lists it no more')) {
			this.streamRun.setEndpoints([]);
		}

		const leaving = /as it said it would(?: not)?$/v.test(fate) ? 'x-leaving: 1\r\n' : '';
		socket.end(`HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-type: ${contentType}\r\n${leaving}\r\n${body}`);
	});
	this.streamEndpoints.push(endpoint);
});

When('a caller requests its stream on the route {string}', async function (this: StreamWorld, route: string) {
	await open(this);
	this.streamResults.push(await this.streamRun.call(`/${route}/x`, {agent: false}));
});

Then('the caller\'s stream is {string}', function (this: StreamWorld, result: string) {
	assert.equal(this.streamResults[0]!.isWhole, result === 'complete');
});
