/**
 * Steps for streams over several releases of the endpoints' software.
 */

import {strict as assert} from 'node:assert';
import {
	After, Before, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {systemClock} from 'mastvalve-utils';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {idOf, startScriptedEndpoint, type ScriptedEndpoint} from './__fixtures__/scripted-endpoint.js';

type ReleaseWorld = World & {
	releaseEndpoints: ScriptedEndpoint[];
	releases: string[];
	releaseResults: Array<Received & {tookMs: number}>;
};

const eventIds = [1, 2, 3, 4];
const beforeBreakMs = 5;

/** Formats the events after an id up to another one. */
export const formatEvents = (after: number, last: number): string =>
	eventIds.filter(id => id > after && id <= last).map(id => `id: ${id}\ndata: e${id}\n\n`).join('');

const formatHead = (text: string): string => `HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-type: text/event-stream\r\n`;

/** Id after which an endpoint is to go on; 0 for a new stream. */
const resumeIdOf = (text: string): number => Number(/x-resume: (?<after>\d+)/iv.exec(text)?.groups?.after ?? 0);

/** Starts an endpoint that breaks each stream after an event. */
export const startBreakingEndpoint = async (last: number): Promise<ScriptedEndpoint> => startScriptedEndpoint((socket, text) => {
	socket.write(`${formatHead(text)}content-length: 10000\r\n\r\n${formatEvents(resumeIdOf(text), last)}`);
	setTimeout(() => {
		socket.destroy();
	}, beforeBreakMs);
});

/** Starts an endpoint that sends all events after the id that it is given. */
export const startWholeEndpoint = async (): Promise<ScriptedEndpoint> => startScriptedEndpoint((socket, text) => {
	const body = formatEvents(resumeIdOf(text), eventIds.length);
	socket.write(`${formatHead(text)}content-length: ${body.length}\r\n\r\n${body}`);
});

Before(function (this: ReleaseWorld) {
	this.releaseEndpoints = [];
	this.releases = [];
	this.releaseResults = [];
});

After(function (this: ReleaseWorld) {
	this.releaseEndpoints.forEach(endpoint => {
		endpoint.close();
	});
});

Given('an endpoint of release {string} that breaks each stream after {int} events', async function (this: ReleaseWorld, release: string, last: number) {
	this.releaseEndpoints.push(await startBreakingEndpoint(last));
	this.releases.push(release);
});

Given('an endpoint of release {string} that sends the following events', async function (this: ReleaseWorld, release: string) {
	this.releaseEndpoints.push(await startWholeEndpoint());
	this.releases.push(release);
});

/** Requests one stream from a new entry, so that no failure is remembered. */
const requestStream = async ({releaseEndpoints, releases}: ReleaseWorld): Promise<Received & {tookMs: number}> => {
	const run = new RunningGateway();
	run.releases = releases;
	await run.start(releaseEndpoints.map(({address}) => address));
	const startedAt = systemClock.now();
	const received = await run.call('/stream/x');
	const tookMs = systemClock.now() - startedAt;
	await run.stop();
	return {...received, tookMs};
};

When('a caller requests a stream from each of {int} new entries', async function (this: ReleaseWorld, count: number) {
	this.releaseResults = await Array.from({length: count}).reduce<Promise<Array<Received & {tookMs: number}>>>(async before => {
		const results = await before;
		return [...results, await requestStream(this)];
	}, Promise.resolve([]));
});

const idsOf = (body: string): string => [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(match => match.groups!.id).join(' ');

Then('each of its streams has the events {string} and is complete', function (this: ReleaseWorld, ids: string) {
	this.releaseResults.forEach(({body, isWhole}) => {
		assert.deepEqual({ids: idsOf(body), isWhole}, {ids, isWhole: true});
	});
});

Then('each of its streams has the events {string} and is broken off within {int} ms', function (this: ReleaseWorld, ids: string, limitMs: number) {
	this.releaseResults.forEach(({body, isWhole, tookMs}) => {
		assert.deepEqual({ids: idsOf(body), isWhole}, {ids, isWhole: false});
		assert.ok(tookMs <= limitMs, `${tookMs} ms`);
	});
});

Then('endpoint {int} has received {int} requests', function (this: ReleaseWorld, index: number, count: number) {
	assert.equal(this.releaseEndpoints[index]!.requests.length, count);
});
