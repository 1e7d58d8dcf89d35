/**
 * Steps for many entries and limited endpoints in virtual time.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {LimitedFleet, LimitFault, type LimitedFleetOptions} from './__fixtures__/limited-fleet.js';

type FleetWorld = World & {fleet: LimitedFleet; entryCount: number; endpointCount: number; startedAt: number};

const msPerSecond = 1000;
const restartPauseMs = 500;
/** Span in which requests are counted, ms. */
const spanMs = 4000;
const seed = 1;

After(function (this: FleetWorld) {
	this.fleet?.close();
});

const faults = new Map(Object.values(LimitFault).map((fault): [string, LimitFault] => [fault, fault]));

const openFleet = (world: FleetWorld, options: Omit<LimitedFleetOptions, 'seed'>): void => {
	world.entryCount = options.entries;
	world.endpointCount = options.endpoints;
	world.fleet = new LimitedFleet({...options, seed});
};

Given('{int} entry/entries in virtual time sharing {int} endpoint(s), with {float} of all requests through one entry', function (this: FleetWorld, entries: number, endpoints: number, firstShare: number) {
	openFleet(this, {
		entries, endpoints, firstShare, fault: LimitFault.None,
	});
});

Given('{int} entries in virtual time sharing an endpoint whose answers take up to {int} ms, with the fault {string}', function (this: FleetWorld, entries: number, maxAnswerMs: number, fault: string) {
	openFleet(this, {
		entries, endpoints: 1, firstShare: 0, fault: faults.get(fault)!, maxAnswerMs,
	});
});

Given('{int} entry/entries in virtual time sharing {int} endpoint(s), where half of the waiting callers disconnect, with the fault {string}', function (this: FleetWorld, entries: number, endpoints: number, fault: string) {
	openFleet(this, {
		entries, endpoints, firstShare: 0, fault: faults.get(fault)!, disconnectShare: 0.5,
	});
});

const setLimitHeader = ({fleet, endpointCount}: FleetWorld, header: string | undefined): void => {
	Array.from({length: endpointCount}).forEach((_, index) => {
		fleet.setLimitHeader(index, header);
	});
};

When('the endpoints report a limit of {string} per second, and {int} requests per second arrive for each of them for {int} s', async function (this: FleetWorld, header: string, perSecond: number, seconds: number) {
	setLimitHeader(this, header);
	await this.fleet.runLoad(perSecond * this.endpointCount, seconds * msPerSecond);
});

When('the endpoints report a limit of {string} per second, and {int} requests per second arrive for {int} s', async function (this: FleetWorld, header: string, perSecond: number, seconds: number) {
	setLimitHeader(this, header);
	await this.fleet.runLoad(perSecond, seconds * msPerSecond);
});

When('{int} requests per second arrive for {int} s', async function (this: FleetWorld, perSecond: number, seconds: number) {
	await this.fleet.runLoad(perSecond, seconds * msPerSecond);
});

When('the endpoints report no limit, and {int} requests per second arrive for {int} s', async function (this: FleetWorld, perSecond: number, seconds: number) {
	setLimitHeader(this, undefined);
	await this.fleet.runLoad(perSecond, seconds * msPerSecond);
});

When('the endpoints report a limit of {string} per second, and {int} requests per second arrive for {int} s, {float} of them urgent', async function (this: FleetWorld, header: string, perSecond: number, seconds: number, urgentShare: number) {
	setLimitHeader(this, header);
	await this.fleet.runLoad(perSecond, seconds * msPerSecond, urgentShare);
});

type Disturbance = (world: FleetWorld) => Promise<void>;

const restartEntries: Disturbance = async ({fleet, entryCount}) => {
	await Array.from({length: 16}).reduce<Promise<void>>(async (before, _, number) => {
		await before;
		fleet.restart(number % entryCount);
		await fleet.time.wait(restartPauseMs);
	}, Promise.resolve());
};

const changeLeaderRepeatedly: Disturbance = async ({fleet}) => {
	await Array.from({length: 4}).reduce<Promise<void>>(async before => {
		await before;
		fleet.removeLeader();
		await fleet.time.wait(1200);
		fleet.electLeader();
		await fleet.time.wait(800);
	}, Promise.resolve());
};

const disconnect = (share: number): Disturbance => async ({fleet}) => {
	fleet.setDisconnected(share, true);
	await fleet.time.wait(8000);
	fleet.setDisconnected(share, false);
};

const disturbances: Record<string, Disturbance> = {
	'the leader changes repeatedly': changeLeaderRepeatedly,
	'entries restart one after another': restartEntries,
	async 'no leader answers'({fleet}) {
		fleet.removeLeader();
		await fleet.time.wait(8000);
		fleet.electLeader();
	},
	'a third of the entries is disconnected': disconnect(1 / 3),
	'half of the entries is disconnected': disconnect(0.5),
	'most of the entries are disconnected': disconnect(0.8),
};

When('the endpoints report a limit of {string} per second, and {int} requests per second arrive, while {string} from 8 s to 16 s', async function (this: FleetWorld, header: string, perSecond: number, disturbance: string) {
	setLimitHeader(this, header);
	void (async () => {
		await this.fleet.time.wait(8000);
		await disturbances[disturbance]!(this);
	})();

	await this.fleet.runLoad(perSecond, 24_000);
});

const listIndexes = ({endpointCount}: FleetWorld): number[] => Array.from({length: endpointCount}, (_, index) => index);

Then('each endpoint receives at most {int} requests in any {int} s, starting {int} ms after it reported its limit', function (this: FleetWorld, limit: number, seconds: number, afterMs: number) {
	const most = listIndexes(this).map(index => this.fleet.countMaxWithin(index, seconds * msPerSecond, afterMs));
	assert.ok(Math.max(...most) <= limit, `maximum number of requests in ${seconds} s: ${most.join(', ')}`);
});

Then('each endpoint receives at most {int} requests in any {int} s from entries that received its limit at least 500 ms before', function (this: FleetWorld, limit: number, seconds: number) {
	const most = listIndexes(this).map(index => this.fleet.countMaxFromInformedEntries(index, seconds * msPerSecond));
	assert.ok(Math.max(...most) <= limit, `maximum number of requests in ${seconds} s: ${most.join(', ')}`);
});

Then('each endpoint receives at least {int} requests in the last {int} s', function (this: FleetWorld, least: number, seconds: number) {
	const from = this.fleet.time.clock.now() - (seconds * msPerSecond);
	const counts = listIndexes(this).map(index => this.fleet.listArrivals(index, from).length);
	assert.ok(Math.min(...counts) >= least, `requests in the last ${seconds} s: ${counts.join(', ')}`);
});

Then('some endpoint receives fewer than {int} requests in the last {int} s', function (this: FleetWorld, least: number, seconds: number) {
	const from = this.fleet.time.clock.now() - (seconds * msPerSecond);
	const counts = listIndexes(this).map(index => this.fleet.listArrivals(index, from).length);
	assert.ok(Math.min(...counts) < least, `requests in the last ${seconds} s: ${counts.join(', ')}`);
});

Then('the leader receives fewer than {int} calls per second', function (this: FleetWorld, limit: number) {
	const perSecond = this.fleet.calls * msPerSecond / this.fleet.time.clock.now();
	assert.ok(perSecond < limit, `${perSecond} calls a second`);
});

Then('at least {float} of the requests that an endpoint receives in the last {int} s are urgent', function (this: FleetWorld, share: number, seconds: number) {
	const arrivals = this.fleet.listArrivals(0, this.fleet.time.clock.now() - (seconds * msPerSecond));
	const urgent = arrivals.filter(({urgency}) => urgency === 0);
	assert.ok(urgent.length >= share * arrivals.length, `${urgent.length} of ${arrivals.length} were urgent`);
});

When('the leader stops answering', function (this: FleetWorld) {
	this.fleet.removeLeader();
});

Then('no request is refused after waiting', function (this: FleetWorld) {
	assert.equal(this.fleet.refusedLate, 0);
});

Then('some endpoint receives more than {int} requests in {int} s', function (this: FleetWorld, limit: number, seconds: number) {
	const most = listIndexes(this).map(index => this.fleet.countMaxWithin(index, seconds * msPerSecond, 500));
	assert.ok(Math.max(...most) > limit, `maximum number of requests in ${seconds} s: ${most.join(', ')}`);
});
