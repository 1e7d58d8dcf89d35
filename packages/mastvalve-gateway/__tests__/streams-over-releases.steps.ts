/**
 * Steps for streams over several releases of the endpoints' software.
 */

import {strict as assert} from 'node:assert';
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {
	After, Before, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {formatIncarnation} from 'mastvalve-fleet';
import {systemClock, waitFor} from 'mastvalve-utils';
import {waitUntil} from '../../../features/support/conditions.js';
import type {EntriesAndControl} from './__fixtures__/entries-and-control.js';
import {RunningGateway, type Received} from './__fixtures__/running-gateway.js';
import {idOf, startScriptedEndpoint, type ScriptedEndpoint} from './__fixtures__/scripted-endpoint.js';

type ReleaseWorld = World & {
	releaseEndpoints: ScriptedEndpoint[];
	releases: string[];
	releaseResults: Array<Received & {tookMs: number}>;
	following: EntriesAndControl;
	releasesByEndpoint: ReportingEndpoint[];
	returned: Array<{begun: StreamReply; after: StreamReply}>;
	reply: StreamReply & {tookMs: number};
};

type ReportingEndpoint = {
	release: string;
	/** Sends a heartbeat of the first process. */
	report: (index: number, sequence: number) => Promise<void>;
	/** Replaces the process by one of another release, which registers. */
	restart: (index: number, release: string) => Promise<void>;
	/** Replaces the process, once `onEnded` has resolved, by one of another release, which doesn't register. */
	crash: (release: string, onEnded: () => Promise<void>) => Promise<void>;
};

/** Status and events of an answer, whether or not it is complete. */
type StreamReply = {status: number; body: string};

const eventIds = [1, 2, 3, 4];
const beforeBreakMs = 5;

/** Formats the events after an id up to another one; they name the release that sends them. */
const formatEvents = (after: number, last: number, release = ''): string =>
	eventIds.filter(id => id > after && id <= last).map(id => `id: ${id}\ndata: e${id} ${release}\n\n`).join('');

const formatHead = (text: string): string => `HTTP/1.1 200 OK\r\nx-id: ${idOf(text)}\r\ncontent-type: text/event-stream\r\n`;

/** Id after which an endpoint is to go on; 0 for a new stream. */
const resumeIdOf = (text: string): number => Number(/x-resume: (?<after>\d+)/iv.exec(text)?.groups?.after ?? 0);

/** Starts an endpoint that breaks each stream after an event. */
const startBreakingEndpoint = async (last: number): Promise<ScriptedEndpoint> => startScriptedEndpoint((socket, text) => {
	socket.write(`${formatHead(text)}content-length: 10000\r\n\r\n${formatEvents(resumeIdOf(text), last)}`);
	setTimeout(() => {
		socket.destroy();
	}, beforeBreakMs);
});

/** Starts an endpoint that sends all events after the id that it is given. */
const startWholeEndpoint = async (): Promise<ScriptedEndpoint> => startScriptedEndpoint((socket, text) => {
	const body = formatEvents(resumeIdOf(text), eventIds.length);
	socket.write(`${formatHead(text)}content-length: ${body.length}\r\n\r\n${body}`);
});

Before(function (this: ReleaseWorld) {
	this.releaseEndpoints = [];
	this.releases = [];
	this.releaseResults = [];
	this.releasesByEndpoint = [];
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

/** Time by which restarted processes say that they started later, ms. */
const laterMs = 5000;
/** When the first processes of reporting endpoints started, ms since the epoch. */
const firstStartAt = 1000;
/** Time in which an entry reports the beginnings of streams, ms. */
const reportMs = 150;

/** Starts an endpoint that breaks new streams after some events, and finishes resumed ones. */
const startReportingEndpoint = async ({following, releaseEndpoints, releasesByEndpoint}: ReleaseWorld, release: string, last: number): Promise<void> => {
	const process = {release};
	const endpoint = await startScriptedEndpoint((socket, text) => {
		const after = resumeIdOf(text);
		const end = after === 0 ? last : eventIds.length;
		const body = formatEvents(after, end, process.release);
		socket.write(`${formatHead(text)}content-length: ${after === 0 ? body.length + 1 : body.length}\r\n\r\n${body}`);
		if (after === 0) {
			setTimeout(() => {
				socket.destroy();
			}, beforeBreakMs);
		}
	});
	releaseEndpoints.push(endpoint);
	const report = async (index: number, startedAt: number, sequence = 1): Promise<void> => {
		const reported = await following.single.control.report({
			id: formatIncarnation({name: `engine-${index}`, startedAt}), sequence, service: 's', address: endpoint.address, failureDomain: 'a', release: process.release, slots: 64, isLeaving: false, remainingMs: undefined, holds: [], inMemory: [], onDisk: [],
		});
		reported._unsafeUnwrap();
	};

	await report(releaseEndpoints.length - 1, firstStartAt);
	releasesByEndpoint.push({
		release,
		report: async (index, sequence) => report(index, firstStartAt, sequence),
		async restart(index, next) {
			process.release = next;
			// Clearly after the streams began, so that their beginnings aren't ambiguous.
			await report(index, systemClock.wall() + laterMs);
		},
		async crash(next, onEnded) {
			endpoint.stopListening();
			endpoint.resetConnections();
			await onEnded();
			process.release = next;
			await endpoint.listenAgain();
		},
	});
};

Given('{int} reporting endpoint(s) of release {string} and {int} of release {string} that break new streams after {int} events', async function (this: ReleaseWorld, count: number, release: string, otherCount: number, other: string, last: number) {
	const releases = [...Array.from({length: count}, () => release), ...Array.from({length: otherCount}, () => other)];
	await releases.reduce<Promise<void>>(async (before, each) => {
		await before;
		await startReportingEndpoint(this, each, last);
	}, Promise.resolve());
	await this.following.waitForEndpoints(releases.length);
});

const callStream = async ({following}: ReleaseWorld, entry: number, headers: Record<string, string>): Promise<StreamReply> =>
	new Promise(resolve => {
		const [host, port] = following.addressOf(entry).split(':');
		const req = request({
			host, port, path: '/stream/x', agent: false, method: 'POST', headers: {host: 'h', ...headers},
		}, res => {
			let body = '';
			res.on('data', (chunk: Uint8Array) => {
				body += Buffer.from(chunk).toString();
			});
			res.on('error', () => undefined);
			res.once('close', () => {
				resolve({status: res.statusCode ?? 0, body});
			});
		});
		req.once('error', () => {
			resolve({status: 0, body: ''});
		});
		req.end();
	});

/** Every second attempt of an answer would be resumed by the entry itself; callers that leave after their first events return instead. */
const beginStreams = async (world: ReleaseWorld, count: number): Promise<StreamReply[]> => {
	const begun = await Promise.all(Array.from({length: count}, async (_, index) => callStream(world, 0, {'x-id': `stream-${index}`})));
	assert.deepEqual(begun.filter(({status}) => status !== 200), []);
	await waitFor(reportMs);
	return begun;
};

/** Begins a stream, and leaves with the first bytes of its body. */
const beginAndLeave = async ({following}: ReleaseWorld, entry: number, id: string): Promise<StreamReply> =>
	new Promise(resolve => {
		const [host, port] = following.addressOf(entry).split(':');
		const req = request({
			host, port, path: '/stream/x', agent: false, method: 'POST', headers: {host: 'h', 'x-id': id},
		}, res => {
			res.once('data', (chunk: Uint8Array) => {
				resolve({status: res.statusCode ?? 0, body: Buffer.from(chunk).toString()});
				req.destroy();
			});
			res.on('error', () => undefined);
		});
		req.on('error', () => undefined);
		req.end();
	});

When('{int} callers, one after the other, leave entry {int} with the first events of their streams and return to entry {int} at once', async function (this: ReleaseWorld, count: number, first: number, second: number) {
	this.returned = [];
	await Array.from({length: count}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		const begun = await beginAndLeave(this, first, `stream-${index}`);
		const last = idsOf(begun.body).split(' ').at(-1)!;
		this.returned.push({begun, after: await callStream(this, second, {'x-id': `return-${index}`, 'x-resume': last, 'x-started-by': `stream-${index}`})});
	}, Promise.resolve());
});

Then('each of these callers has all events of one release', function (this: ReleaseWorld) {
	this.returned.forEach(({begun, after}) => {
		assert.equal(after.status, 200, after.body);
		assert.equal(idsOf(begun.body + after.body), eventIds.join(' '));
		assert.equal(new Set(releasesOf(begun.body + after.body)).size, 1);
	});
});

const returnAll = async (world: ReleaseWorld, begun: readonly StreamReply[], entry: number): Promise<void> => {
	world.returned = await Promise.all(begun.map(async (reply, index) => ({begun: reply, after: await callStream(world, entry, {'x-id': `return-${index}`, 'x-resume': '2', 'x-started-by': `stream-${index}`})})));
};

When('{int} callers begin streams at entry 0, and return to entry {int} after the events that they have', async function (this: ReleaseWorld, count: number, entry: number) {
	await returnAll(this, await beginStreams(this, count), entry);
});

When('{int} callers begin streams at entry 0, entry 0 ends, and they return to entry {int} after the events that they have', async function (this: ReleaseWorld, count: number, entry: number) {
	const begun = await beginStreams(this, count);
	await this.following.end(0);
	await returnAll(this, begun, entry);
});

/** Restarts an endpoint with another release, which doesn't register, after entry 2 has found that nobody listened and all have heard of it. */
const crashEndpoint = async ({following, releaseEndpoints, releasesByEndpoint}: ReleaseWorld, index: number, release: string): Promise<void> => {
	const {address} = releaseEndpoints[index]!;
	const hasFound = (): boolean => following.logged.some(({kind, fields}) => kind === 'attempt.failed' && String(fields.reason).includes(`ECONNREFUSED ${address}`));
	await releasesByEndpoint[index]!.crash(release, async () => {
		await waitUntil('entry 2 has found that nobody listens', async () => {
			await following.call(2, '/safe/x', 'a question');
			return hasFound();
		});
		await waitFor(reportMs);
	});
};

const heartbeatMs = 500;

When('endpoint {int} refuses connections until all entries have heard of it, and sends heartbeats for {int} ms', {timeout: 20_000}, async function (this: ReleaseWorld, index: number, ms: number) {
	await crashEndpoint(this, index, this.releasesByEndpoint[index]!.release);
	await Array.from({length: Math.ceil(ms / heartbeatMs)}).reduce<Promise<void>>(async (before, _, count) => {
		await before;
		await this.releasesByEndpoint[index]!.report(index, count + 2);
		await waitFor(heartbeatMs);
	}, Promise.resolve());
});

When('{int} callers begin streams at entry 0, endpoint {int} crashes and answers with {string} before it registers, and the callers return to entry {int}', async function (this: ReleaseWorld, count: number, index: number, release: string, entry: number) {
	const begun = await beginStreams(this, count);
	await crashEndpoint(this, index, release);
	await returnAll(this, begun, entry);
});

When('endpoint {int} crashes and answers with {string} before it registers, {int} callers begin streams at entry 0, and return to entry {int} after the events that they have', async function (this: ReleaseWorld, index: number, release: string, count: number, entry: number) {
	await crashEndpoint(this, index, release);
	await returnAll(this, await beginStreams(this, count), entry);
});

When('entry {int} hears no more of endpoints for {int} ms', async function (this: ReleaseWorld, entry: number, ms: number) {
	this.following.stopHearing(entry);
	await waitFor(ms);
});

When('{int} callers begin streams at entry 0, entry {int} hears no more of endpoints, those of release {string} restart with {string}, and the callers return to entry {int}', async function (this: ReleaseWorld, count: number, deaf: number, release: string, next: string, entry: number) {
	const begun = await beginStreams(this, count);
	this.following.stopHearing(deaf);
	await this.releasesByEndpoint.reduce<Promise<void>>(async (before, each, index) => {
		await before;
		if (each.release === release) {
			await each.restart(index, next);
		}
	}, Promise.resolve());
	await returnAll(this, begun, entry);
});

Then('none of these streams has events of two releases', function (this: ReleaseWorld) {
	assert.deepEqual(this.returned.filter(({begun, after}) => new Set([...releasesOf(begun.body), ...releasesOf(after.body)]).size > 1), []);
});

const releasesOf = (body: string): string[] => [...new Set([...body.matchAll(/^data: e\d+ (?<release>.+)$/gmv)].map(match => match.groups!.release!))];

Then('each of these streams goes on with events of its release', function (this: ReleaseWorld) {
	this.returned.forEach(({begun, after}) => {
		assert.equal(after.status, 200, after.body);
		assert.equal(idsOf(after.body), '3 4');
		assert.deepEqual(releasesOf(after.body), releasesOf(begun.body));
	});
});

const returnOnce = async (world: ReleaseWorld, entry: number, headers: Record<string, string>): Promise<void> => {
	const startedAt = systemClock.now();
	const reply = await callStream(world, entry, {'x-id': `return ${startedAt}`.replaceAll(/[ .]/gv, '-'), 'x-resume': '2', ...headers});
	world.reply = {...reply, tookMs: systemClock.now() - startedAt};
};

When('a caller returns to entry {int} with the stream {string}', async function (this: ReleaseWorld, entry: number, name: string) {
	await returnOnce(this, entry, {'x-started-by': name});
});

When('a caller returns to entry {int} without the name of its stream', async function (this: ReleaseWorld, entry: number) {
	await returnOnce(this, entry, {});
});

Then('it is refused as not run within {int} ms', function (this: ReleaseWorld, limitMs: number) {
	const {status, body, tookMs} = this.reply;
	assert.equal(status, 503);
	assert.ok(body.includes('stream-release-unknown'), body);
	assert.ok(tookMs <= limitMs, `${tookMs} ms`);
	assert.equal(this.releaseEndpoints.flatMap(({requests}) => requests).length, 0);
});

Then('it gets the events {string}', function (this: ReleaseWorld, ids: string) {
	assert.equal(idsOf(this.reply.body), ids);
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
