/**
 * Steps for catching up after a link failure: replicas without clocks or sockets, with the queue limits of the log transport.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	defaultReplicaRules, MessageKind, Replica, Role, type Message,
} from 'mastvalve-replication';
import {keepNewest, takeBatch} from '../src/peer/log-transport.js';

type CatchUpWorld = World & {replicas: Map<string, Replica>; now: number; links: Map<string, Message[]>; bodies: number[]; changeBytes: number; changes: number; waiting: Message[]; batches: Message[][]};

const ids = ['a', 'b', 'c'];
const leaderId = 'a';
const disconnectedId = 'c';
const stepMs = 10;
const kilobyte = 1000;

const queueMessages = (world: CatchUpWorld): void => {
	world.replicas.forEach(replica => {
		replica.takeEffects().messages.forEach(message => {
			const link = `${message.from}>${message.to}`;
			world.links.set(link, keepNewest([...(world.links.get(link) ?? []), message]));
		});
	});
};

/** Advances time by one step; every working link delivers one batch of its pending messages. */
const step = (world: CatchUpWorld, isDisconnected: boolean): void => {
	world.now += stepMs;
	world.replicas.forEach(replica => {
		replica.tick(world.now);
		replica.flush(world.now);
	});
	queueMessages(world);
	[...world.links].filter(([link]) => !isDisconnected || !link.includes(disconnectedId)).forEach(([link, messages]) => {
		const body = takeBatch(messages);
		world.links.set(link, messages.slice(body.length));
		if (messages.length > 0 && link === `${leaderId}>${disconnectedId}`) {
			world.bodies.push(JSON.stringify(body).length);
		}

		body.forEach(message => {
			world.replicas.get(message.to)?.receive(message, world.now);
		});
	});
	queueMessages(world);
};

Given('3 replicas, and a link from the leader to one that fails for {int} seconds while {int} changes of {int} KB are committed per second', function (this: CatchUpWorld, seconds: number, rate: number, size: number) {
	this.now = 1000;
	this.links = new Map();
	this.bodies = [];
	this.replicas = new Map(ids.map(id => [id, new Replica({
		id, initialMembership: {voters: ids, learners: []}, restored: {hardState: {term: 1}, snapshot: undefined, entries: []}, times: {electionTimeoutMs: 550, heartbeatMs: 110, maxClockDrift: 0.1}, rules: defaultReplicaRules, random: () => (id === leaderId ? 0 : 0.9), now: this.now,
	})]));
	Array.from({length: 200}).forEach(() => {
		step(this, false);
	});
	const leader = this.replicas.get(leaderId);
	assert.equal(leader?.role, Role.Leader);
	this.changeBytes = size * kilobyte;
	this.changes = 0;
	this.bodies = [];
	Array.from({length: seconds * 1000 / stepMs}).forEach(() => {
		Array.from({length: rate * stepMs / 1000}).forEach(() => {
			this.changes += 1;
			leader?.propose({text: 'x'.repeat(this.changeBytes)});
		});
		step(this, true);
	});
});

When('the link recovers', function (this: CatchUpWorld) {
	Array.from({length: 300}).forEach(() => {
		step(this, false);
	});
});

Then('the replica has all changes, and at most {int} times their bytes were sent to it', function (this: CatchUpWorld, max: number) {
	assert.equal(this.replicas.get(disconnectedId)?.commitIndex, this.replicas.get(leaderId)?.commitIndex);
	const sent = this.bodies.reduce((sum, bytes) => sum + bytes, 0);
	const needed = this.changes * this.changeBytes;
	assert.ok(sent <= max * needed, `${(sent / needed).toFixed(1)} times: ${Math.round(sent / kilobyte)} KB in ${this.bodies.length} bodies`);
});

Then('no body exceeded {int} KB', function (this: CatchUpWorld, max: number) {
	const largest = Math.max(...this.bodies);
	assert.ok(largest <= max * kilobyte, `${Math.round(largest / kilobyte)} KB`);
});

Given('{int} snapshots of the log that wait for a slow link, with heartbeats between them', function (this: CatchUpWorld, count: number) {
	const ids = {
		from: leaderId, to: disconnectedId, term: 1, sentAt: 0,
	};
	this.waiting = Array.from({length: count}, (): Message[] => [
		{
			...ids, kind: MessageKind.SnapshotRequest, snapshot: {
				index: 1, term: 1, membership: {voters: [leaderId], learners: []}, data: {},
			},
		},
		{
			...ids, kind: MessageKind.AppendRequest, prevIndex: 1, prevTerm: 1, entries: [], commit: 1,
		},
	]).flat();
});

When('the link takes calls', function (this: CatchUpWorld) {
	this.batches = [];
	let {waiting} = this;
	while (waiting.length > 0) {
		const batch = takeBatch(waiting);
		this.batches.push(batch);
		waiting = waiting.slice(batch.length);
	}
});

Then('no call carries two snapshots, and all messages are sent in order', function (this: CatchUpWorld) {
	assert.deepEqual(this.batches.flat(), this.waiting);
	assert.ok(this.batches.every(batch => batch.filter(({kind}) => kind === MessageKind.SnapshotRequest).length <= 1));
});
