/**
 * Steps for entries that follow control over links that are slow or break.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {PeerClient} from 'mastvalve-cluster';
import {SlowLink} from 'mastvalve-fakes';
import {createRoutes, createStated, SingleControl} from 'mastvalve-fakes/fleet';
import {FleetCommandKind, type EndpointReport} from 'mastvalve-fleet';
import type {FleetControl} from 'mastvalve-fleet-control';
import {callUntilAborted, systemClock, waitFor} from 'mastvalve-utils';
import {findFreePorts} from '../../../features/support/free-ports.js';
import {waitUntil} from '../../../features/support/conditions.js';
import {FleetFollower, FleetView, SourceSelector} from '../src/index.js';

type FollowWorld = World & {
	/** Address at which entries reach control: the near end of the link. */
	address: string;
	/** Address on which control listens. */
	listen: string;
	single: SingleControl;
	control: FleetControl;
	clients: PeerClient[];
	slowLink: SlowLink;
	view: FleetView;
	ending: AbortController;
	version: number;
	/** Time of the last action, ms. */
	actedAt: number;
	/** Bytes received over the link before the last change. */
	bytesBefore: number;
};

const kilobyte = 1000;
const pollMs = 10;

const createReport = (sequence: number, isLeaving: boolean, id: string): EndpointReport => ({
	id, sequence, service: 's', address: `127.0.0.1:${id === 'e' ? 1 : 2}`, failureDomain: 'a', release: 'v1', slots: 1, isLeaving, remainingMs: undefined, holds: [], inMemory: [], onDisk: [],
});

const startControl = async (world: FollowWorld): Promise<void> => {
	const [nearPort, port] = await findFreePorts(2);
	world.clients = [];
	world.ending = new AbortController();
	world.version = 0;
	world.address = `127.0.0.1:${nearPort}`;
	world.listen = `127.0.0.1:${port}`;
	world.single = await SingleControl.open(world.address, world.listen);
	world.control = world.single.control;
};

const configure = async (world: FollowWorld, routeCount: number, changed = 0): Promise<void> => {
	world.version += 1;
	const stated = createStated(world.version, createRoutes(routeCount, changed));
	await waitUntil('the configuration is committed', async () => {
		const result = await world.control.configure(stated);
		return result.isOk();
	});
};

const report = async (world: FollowWorld, sequence: number, isLeaving: boolean, id = 'e'): Promise<void> => {
	const result = await world.control.report(createReport(sequence, isLeaving, id));
	assert.equal(result.isOk(), true);
};

const startFollowing = async (world: FollowWorld, kilobytesPerSecond: number): Promise<void> => {
	const client = new PeerClient();
	world.clients.push(client);
	world.slowLink = await SlowLink.open(world.address, world.listen, kilobytesPerSecond * kilobyte);
	world.view = new FleetView(() => systemClock.now());
	const follower = new FleetFollower({
		client, view: world.view, listSources: () => [world.address], distanceTo: () => 0, access: {canAuthorize: true, recordAnswer: () => undefined}, now: () => systemClock.now(), onEvent: () => undefined,
	});
	void follower.run(world.ending.signal);
};

/** Waits until a condition holds; fails when it does not hold within the limit from the last action. */
const expectWithin = async (world: FollowWorld, limitMs: number, condition: () => boolean): Promise<void> => {
	while (!condition() && performance.now() - world.actedAt < limitMs) {
		// eslint-disable-next-line no-await-in-loop
		await waitFor(pollMs);
	}

	assert.equal(condition(), true, `not within ${limitMs} ms`);
};

After(async function (this: FollowWorld) {
	if (!this.single) {
		return;
	}

	this.ending.abort();
	this.slowLink?.close();
	this.clients.forEach(client => {
		client.close();
	});
	await this.single.close();
});

Given('control with a configuration of {int} route(s)', async function (this: FollowWorld, routeCount: number) {
	await startControl(this);
	await configure(this, routeCount);
	await report(this, 1, false);
});

Given('an entry that follows control over a link of {int} KB per second', async function (this: FollowWorld, kilobytesPerSecond: number) {
	await startFollowing(this, kilobytesPerSecond);
	await waitUntil('the entry is synced', async () => this.view.isSynced);
	assert.equal(this.view.listEndpoints('s').length, 1);
});

When('an entry starts following control over a link of {int} KB per second', async function (this: FollowWorld, kilobytesPerSecond: number) {
	this.actedAt = performance.now();
	await startFollowing(this, kilobytesPerSecond);
});

When('an entry starts following control over a link of {int} KB per second whose connections break every {int} ms', async function (this: FollowWorld, kilobytesPerSecond: number, everyMs: number) {
	this.actedAt = performance.now();
	await startFollowing(this, kilobytesPerSecond);
	callUntilAborted(this.ending.signal, everyMs, () => {
		this.slowLink.breakConnections();
	});
});

When('a configuration in which {int} of the routes differs is committed', async function (this: FollowWorld, changed: number) {
	this.bytesBefore = this.slowLink.bytesBack;
	await configure(this, this.control.machine.configuration?.configuration.routes.length ?? 0, changed);
	this.actedAt = performance.now();
});

When('an endpoint leaves and is forgotten', async function (this: FollowWorld) {
	this.bytesBefore = this.slowLink.bytesBack;
	const left = await this.control.leave('e');
	assert.equal(left.isOk(), true);
	await waitUntil('the entry has the change', async () => this.view.listEndpoints('s').length === 0);
	const forgotten = await this.control.group.propose({kind: FleetCommandKind.Forget, ids: ['e']});
	assert.equal(forgotten.isOk(), true);
	// Any transfer caused by it would arrive with the next change at the latest.
	await report(this, 1, false, 'f');
	await waitUntil('the entry has the next change', async () => this.view.listEndpoints('s').length === 1);
});

Then('at most {int} KB have been received over the link since the change', function (this: FollowWorld, most: number) {
	const bytes = this.slowLink.bytesBack - this.bytesBefore;
	assert.ok(bytes <= most * kilobyte, `${bytes} bytes`);
});

When('a configuration of {int} routes is committed', async function (this: FollowWorld, routeCount: number) {
	await configure(this, routeCount);
	this.actedAt = performance.now();
});

When('a configuration of {int} routes is committed, and an endpoint reports that it is leaving', async function (this: FollowWorld, routeCount: number) {
	await configure(this, routeCount);
	await report(this, 2, true);
	this.actedAt = performance.now();
});

Then('the entry uses the new configuration within {int} ms', async function (this: FollowWorld, limitMs: number) {
	await expectWithin(this, limitMs, () => this.view.configuration?.version === this.version);
});

Then('the entry is synced within {int} ms', {timeout: 10_000}, async function (this: FollowWorld, limitMs: number) {
	await expectWithin(this, limitMs, () => this.view.isSynced && this.view.configuration?.version === this.version);
});

Then('the entry stops using the endpoint within {int} ms', async function (this: FollowWorld, limitMs: number) {
	await expectWithin(this, limitMs, () => this.view.listEndpoints('s').length === 0);
});

/** An entry in virtual time, which queries one instance after the other, as its follower does. */
type SelectorWorld = World & {sourceSelector: SourceSelector; now: number; isNearUnavailable: boolean; nearQueries: number; updatedAt: number[]; followed: string | undefined};

const distant = '10.2.0.1:1';
const near = '10.1.0.1:1';
/** Duration of a query that is answered, and of one that is not, ms. */
const answeredQueryMs = 400;
const failedQueryMs = 800;

const queryOnce = (world: SelectorWorld): void => {
	const address = world.sourceSelector.select([distant, near]) ?? distant;
	const isUnavailable = address === near && world.isNearUnavailable;
	world.nearQueries += address === near ? 1 : 0;
	world.now += isUnavailable ? failedQueryMs : answeredQueryMs;
	if (isUnavailable) {
		world.sourceSelector.recordFailure(address);
		return;
	}

	world.sourceSelector.recordAnswer(address);
	world.followed = address;
	world.updatedAt.push(world.now);
};

const queryFor = (world: SelectorWorld, seconds: number): void => {
	const end = world.now + (seconds * 1000);
	while (world.now < end) {
		queryOnce(world);
	}
};

Given('an entry that follows a distant instance, and an unavailable nearer one', function (this: SelectorWorld) {
	this.now = 0;
	this.nearQueries = 0;
	this.updatedAt = [];
	this.isNearUnavailable = true;
	this.sourceSelector = new SourceSelector({distanceTo: address => (address === near ? 0 : 1), now: () => this.now});
	this.sourceSelector.recordAnswer(distant);
});

When('{int} seconds pass', function (this: SelectorWorld, seconds: number) {
	queryFor(this, seconds);
});

When('the nearer one is available again and {int} seconds pass', function (this: SelectorWorld, seconds: number) {
	this.isNearUnavailable = false;
	queryFor(this, seconds);
});

Then('the entry follows the distant instance, and has queried the nearer one once', function (this: SelectorWorld) {
	assert.equal(this.followed, distant);
	assert.equal(this.nearQueries, 1);
});

Then('the entry follows the nearer instance', function (this: SelectorWorld) {
	assert.equal(this.followed, near);
});

Then('the entry is never without an update for longer than 1.2 seconds, and has queried the nearer instance at most {int} times', function (this: SelectorWorld, most: number) {
	const gaps = this.updatedAt.map((at, index) => at - (this.updatedAt[index - 1] ?? 0));
	assert.ok(Math.max(...gaps) <= failedQueryMs + answeredQueryMs, `${Math.max(...gaps)} ms without an update`);
	assert.ok(this.nearQueries <= most, `${this.nearQueries}`);
});
