/**
 * Steps of entries that follow control over links that are slow or break.
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
	/** Where control is reached: at the link's near end. */
	address: string;
	/** Where it listens. */
	listen: string;
	single: SingleControl;
	control: FleetControl;
	clients: PeerClient[];
	slowLink: SlowLink;
	view: FleetView;
	ending: AbortController;
	version: number;
	/** When the last step acted, ms. */
	actedAt: number;
	/** Bytes that had come over the link before the last change. */
	bytesBefore: number;
};

const kilobyte = 1000;
const pollMs = 10;

const endpoint = (sequence: number, isLeaving: boolean, id: string): EndpointReport => ({
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
	await waitUntil('the configuration is in force', async () => {
		const result = await world.control.configure(stated);
		return result.isOk();
	});
};

const report = async (world: FollowWorld, sequence: number, isLeaving: boolean, id = 'e'): Promise<void> => {
	const result = await world.control.report(endpoint(sequence, isLeaving, id));
	assert.equal(result.isOk(), true);
};

const beginFollowing = async (world: FollowWorld, kilobytesPerSecond: number): Promise<void> => {
	const client = new PeerClient();
	world.clients.push(client);
	world.slowLink = await SlowLink.open(world.address, world.listen, kilobytesPerSecond * kilobyte);
	world.view = new FleetView(() => systemClock.now());
	const follower = new FleetFollower({
		client, view: world.view, listSources: () => [world.address], distanceTo: () => 0, access: {canAuthorize: true, recordAnswer: () => undefined}, now: () => systemClock.now(), onEvent: () => undefined,
	});
	void follower.run(world.ending.signal);
};

/** Waits until a condition holds; fails when that takes longer than the limit from the last action on. */
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

Given('an entry that follows it over a link of {int} KB a second', async function (this: FollowWorld, kilobytesPerSecond: number) {
	await beginFollowing(this, kilobytesPerSecond);
	await waitUntil('the entry is synced', async () => this.view.isSynced);
	assert.equal(this.view.listEndpoints('s').length, 1);
});

When('an entry begins to follow it over a link of {int} KB a second', async function (this: FollowWorld, kilobytesPerSecond: number) {
	this.actedAt = performance.now();
	await beginFollowing(this, kilobytesPerSecond);
});

When('an entry begins to follow it over a link of {int} KB a second whose connections break every {int} ms', async function (this: FollowWorld, kilobytesPerSecond: number, everyMs: number) {
	this.actedAt = performance.now();
	await beginFollowing(this, kilobytesPerSecond);
	callUntilAborted(this.ending.signal, everyMs, () => {
		this.slowLink.breakConnections();
	});
});

When('a configuration is put in force in which {int} of the routes is another one', async function (this: FollowWorld, changed: number) {
	this.bytesBefore = this.slowLink.bytesBack;
	await configure(this, this.control.machine.configuration?.configuration.routes.length ?? 0, changed);
	this.actedAt = performance.now();
});

When('an endpoint ends and is forgotten', async function (this: FollowWorld) {
	this.bytesBefore = this.slowLink.bytesBack;
	const left = await this.control.leave('e');
	assert.equal(left.isOk(), true);
	await waitUntil('the entry knows it', async () => this.view.listEndpoints('s').length === 0);
	const forgotten = await this.control.group.propose({kind: FleetCommandKind.Forget, ids: ['e']});
	assert.equal(forgotten.isOk(), true);
	// Whatever came with it would come with the next change at the latest.
	await report(this, 1, false, 'f');
	await waitUntil('the entry knows the next change', async () => this.view.listEndpoints('s').length === 1);
});

Then('at most {int} KB have come over the link since the change', function (this: FollowWorld, most: number) {
	const bytes = this.slowLink.bytesBack - this.bytesBefore;
	assert.ok(bytes <= most * kilobyte, `${bytes} bytes`);
});

When('a configuration of {int} routes is put in force', async function (this: FollowWorld, routeCount: number) {
	await configure(this, routeCount);
	this.actedAt = performance.now();
});

When('a configuration of {int} routes is put in force and an endpoint says that it leaves', async function (this: FollowWorld, routeCount: number) {
	await configure(this, routeCount);
	await report(this, 2, true);
	this.actedAt = performance.now();
});

Then('the entry serves by it within {int} ms', async function (this: FollowWorld, limitMs: number) {
	await expectWithin(this, limitMs, () => this.view.configuration?.version === this.version);
});

Then('the entry is synced within {int} ms', {timeout: 10_000}, async function (this: FollowWorld, limitMs: number) {
	await expectWithin(this, limitMs, () => this.view.isSynced && this.view.configuration?.version === this.version);
});

Then('the entry sends it nothing after {int} ms', async function (this: FollowWorld, limitMs: number) {
	await expectWithin(this, limitMs, () => this.view.listEndpoints('s').length === 0);
});

/** An entry in virtual time; it asks one instance each time step, as its follower does. */
type ChoiceWorld = World & {choice: SourceSelector; now: number; isNearAway: boolean; nearAsked: number; newsAt: number[]; followed: string | undefined};

const far = '10.2.0.1:1';
const near = '10.1.0.1:1';
/** Time of a question that is answered, and of one that is not, ms. */
const answeredMs = 400;
const silentMs = 800;

const askOnce = (world: ChoiceWorld): void => {
	const address = world.choice.select([far, near]) ?? far;
	const isAway = address === near && world.isNearAway;
	world.nearAsked += address === near ? 1 : 0;
	world.now += isAway ? silentMs : answeredMs;
	if (isAway) {
		world.choice.recordFailure(address);
		return;
	}

	world.choice.recordAnswer(address);
	world.followed = address;
	world.newsAt.push(world.now);
};

const askFor = (world: ChoiceWorld, seconds: number): void => {
	const end = world.now + (seconds * 1000);
	while (world.now < end) {
		askOnce(world);
	}
};

Given('an entry that follows a far instance, and a near one that is away', function (this: ChoiceWorld) {
	this.now = 0;
	this.nearAsked = 0;
	this.newsAt = [];
	this.isNearAway = true;
	this.choice = new SourceSelector({distanceTo: address => (address === near ? 0 : 1), now: () => this.now});
	this.choice.recordAnswer(far);
});

When('{int} seconds go by', function (this: ChoiceWorld, seconds: number) {
	askFor(this, seconds);
});

When('the near one is back and {int} seconds go by', function (this: ChoiceWorld, seconds: number) {
	this.isNearAway = false;
	askFor(this, seconds);
});

Then('it follows the far one, and has asked the near one once', function (this: ChoiceWorld) {
	assert.equal(this.followed, far);
	assert.equal(this.nearAsked, 1);
});

Then('it follows the near one', function (this: ChoiceWorld) {
	assert.equal(this.followed, near);
});

Then('it is never without news for longer than 1.2 seconds, and has asked the near one at most {int} times', function (this: ChoiceWorld, most: number) {
	const gaps = this.newsAt.map((at, index) => at - (this.newsAt[index - 1] ?? 0));
	assert.ok(Math.max(...gaps) <= silentMs + answeredMs, `${Math.max(...gaps)} ms without news`);
	assert.ok(this.nearAsked <= most, `${this.nearAsked}`);
});
