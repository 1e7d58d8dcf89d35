/**
 * Steps of many entries and limited endpoints in virtual time.
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

const open = (world: FleetWorld, options: Omit<LimitedFleetOptions, 'seed'>): void => {
	world.entryCount = options.entries;
	world.endpointCount = options.endpoints;
	world.fleet = new LimitedFleet({...options, seed});
};

Given('{int} entries in virtual time that share {int} endpoints, {float} of all requests through one of them', function (this: FleetWorld, entries: number, endpoints: number, firstShare: number) {
	open(this, {
		entries, endpoints, firstShare, fault: LimitFault.None,
	});
});

Given('{int} entries in virtual time that share an endpoint whose answers take up to {int} ms, with the fault {string}', function (this: FleetWorld, entries: number, maxAnswerMs: number, fault: string) {
	open(this, {
		entries, endpoints: 1, firstShare: 0, fault: faults.get(fault)!, maxAnswerMs,
	});
});

Given('{int} entries in virtual time that share {int} endpoints, and half of the callers leave while they wait, with the fault {string}', function (this: FleetWorld, entries: number, endpoints: number, fault: string) {
	open(this, {
		entries, endpoints, firstShare: 0, fault: faults.get(fault)!, leaveShare: 0.5,
	});
});

const name = ({fleet, endpointCount}: FleetWorld, word: string | undefined): void => {
	Array.from({length: endpointCount}).forEach((_, index) => {
		fleet.name(index, word);
	});
};

When('the endpoints name a limit of {string} a second, and {int} requests a second come for each of them for {int} s', async function (this: FleetWorld, word: string, perSecond: number, seconds: number) {
	name(this, word);
	await this.fleet.load(perSecond * this.endpointCount, seconds * msPerSecond);
});

When('the endpoints name a limit of {string} a second, and {int} requests a second come for {int} s', async function (this: FleetWorld, word: string, perSecond: number, seconds: number) {
	name(this, word);
	await this.fleet.load(perSecond, seconds * msPerSecond);
});

When('{int} requests a second come for {int} s', async function (this: FleetWorld, perSecond: number, seconds: number) {
	await this.fleet.load(perSecond, seconds * msPerSecond);
});

When('the endpoints name no limit, and {int} requests a second come for {int} s', async function (this: FleetWorld, perSecond: number, seconds: number) {
	name(this, undefined);
	await this.fleet.load(perSecond, seconds * msPerSecond);
});

When('the endpoints name a limit of {string} a second, and {int} requests a second come for {int} s, {float} of them urgent', async function (this: FleetWorld, word: string, perSecond: number, seconds: number, urgentShare: number) {
	name(this, word);
	await this.fleet.load(perSecond, seconds * msPerSecond, urgentShare);
});

type Disturb = (world: FleetWorld) => Promise<void>;

const restartInTurn: Disturb = async ({fleet, entryCount}) => {
	await Array.from({length: 16}).reduce<Promise<void>>(async (before, _, number) => {
		await before;
		fleet.restart(number % entryCount);
		await fleet.time.wait(restartPauseMs);
	}, Promise.resolve());
};

const electOften: Disturb = async ({fleet}) => {
	await Array.from({length: 4}).reduce<Promise<void>>(async before => {
		await before;
		fleet.loseLeader();
		await fleet.time.wait(1200);
		fleet.elect();
		await fleet.time.wait(800);
	}, Promise.resolve());
};

const disturbances: Record<string, Disturb> = {
	'leaders follow each other': electOften,
	'entries restart one after the other': restartInTurn,
	async 'no leader answers'({fleet}) {
		fleet.loseLeader();
		await fleet.time.wait(8000);
		fleet.elect();
	},
	async 'a third of the entries is cut off'({fleet}) {
		fleet.cut(1 / 3, true);
		await fleet.time.wait(8000);
		fleet.cut(1 / 3, false);
	},
};

When('the endpoints name a limit of {string} a second, and {int} requests a second come, while {string} from 8 s to 16 s', async function (this: FleetWorld, word: string, perSecond: number, what: string) {
	name(this, word);
	void (async () => {
		await this.fleet.time.wait(8000);
		await disturbances[what]!(this);
	})();

	await this.fleet.load(perSecond, 24_000);
});

const listIndexes = ({endpointCount}: FleetWorld): number[] => Array.from({length: endpointCount}, (_, index) => index);

Then('each endpoint got at most {int} requests in any {int} s from {int} ms after it had named its limit', function (this: FleetWorld, limit: number, seconds: number, afterMs: number) {
	const most = listIndexes(this).map(index => this.fleet.countMost(index, seconds * msPerSecond, afterMs));
	assert.ok(Math.max(...most) <= limit, `the most requests in ${seconds} s: ${most.join(', ')}`);
});

Then('each endpoint got at most {int} requests in any {int} s from entries that it had told 500 ms before', function (this: FleetWorld, limit: number, seconds: number) {
	const most = listIndexes(this).map(index => this.fleet.countMostTold(index, seconds * msPerSecond));
	assert.ok(Math.max(...most) <= limit, `the most requests in ${seconds} s: ${most.join(', ')}`);
});

Then('each endpoint got at least {int} requests in the last {int} s', function (this: FleetWorld, least: number, seconds: number) {
	const from = this.fleet.time.clock.now() - (seconds * msPerSecond);
	const got = listIndexes(this).map(index => this.fleet.listArrivals(index, from).length);
	assert.ok(Math.min(...got) >= least, `requests in the last ${seconds} s: ${got.join(', ')}`);
});

Then('some endpoint got less than {int} requests in the last {int} s', function (this: FleetWorld, least: number, seconds: number) {
	const from = this.fleet.time.clock.now() - (seconds * msPerSecond);
	const got = listIndexes(this).map(index => this.fleet.listArrivals(index, from).length);
	assert.ok(Math.min(...got) < least, `requests in the last ${seconds} s: ${got.join(', ')}`);
});

Then('the leader was called less than {int} times a second', function (this: FleetWorld, limit: number) {
	const perSecond = this.fleet.calls * msPerSecond / this.fleet.time.clock.now();
	assert.ok(perSecond < limit, `${perSecond} calls a second`);
});

Then('at least {float} of the requests in the last {int} s were urgent', function (this: FleetWorld, share: number, seconds: number) {
	const got = this.fleet.listArrivals(0, this.fleet.time.clock.now() - (seconds * msPerSecond));
	const urgent = got.filter(({urgency}) => urgency === 0);
	assert.ok(urgent.length >= share * got.length, `${urgent.length} of ${got.length} were urgent`);
});

When('no leader answers any more', function (this: FleetWorld) {
	this.fleet.loseLeader();
});

Then('nobody was refused after it had waited', function (this: FleetWorld) {
	assert.equal(this.fleet.refusedLate, 0);
});

Then('some endpoint got more than {int} requests in {int} s', function (this: FleetWorld, limit: number, seconds: number) {
	const most = listIndexes(this).map(index => this.fleet.countMost(index, seconds * msPerSecond, 500));
	assert.ok(Math.max(...most) > limit, `the most requests in ${seconds} s: ${most.join(', ')}`);
});
