/**
 * Steps of a replica that catches up after a cut: replicas without clocks or sockets, with the links' rule of what waits.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {
	defaultReplicaRules, Replica, Role, type Message,
} from 'mastvalve-replication';
import {keepNewest, takeBatch} from '../src/peer/log-transport.js';

type CatchUpWorld = World & {replicas: Map<string, Replica>; now: number; links: Map<string, Message[]>; bodies: number[]; changeBytes: number; changes: number};

const ids = ['a', 'b', 'c'];
const leaderId = 'a';
const cutId = 'c';
const stepMs = 10;
const kilobyte = 1000;

const collect = (world: CatchUpWorld): void => {
	world.replicas.forEach(replica => {
		replica.takeEffects().messages.forEach(message => {
			const link = `${message.from}>${message.to}`;
			world.links.set(link, keepNewest([...(world.links.get(link) ?? []), message]));
		});
	});
};

/** One step of time: every link that is whole carries all that waits in one body. */
const step = (world: CatchUpWorld, isCut: boolean): void => {
	world.now += stepMs;
	world.replicas.forEach(replica => {
		replica.tick(world.now);
		replica.flush(world.now);
	});
	collect(world);
	[...world.links].filter(([link]) => !isCut || !link.includes(cutId)).forEach(([link, messages]) => {
		const body = takeBatch(messages);
		world.links.set(link, messages.slice(body.length));
		if (messages.length > 0 && link === `${leaderId}>${cutId}`) {
			world.bodies.push(JSON.stringify(body).length);
		}

		body.forEach(message => {
			world.replicas.get(message.to)?.receive(message, world.now);
		});
	});
	collect(world);
};

Given('3 replicas, of which the leader\'s link to one is cut for {int} seconds while {int} changes of {int} KB are committed each second', function (this: CatchUpWorld, seconds: number, rate: number, size: number) {
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

When('the link is whole again', function (this: CatchUpWorld) {
	Array.from({length: 300}).forEach(() => {
		step(this, false);
	});
});

Then('the replica has all changes after at most {int} times their bytes', function (this: CatchUpWorld, most: number) {
	assert.equal(this.replicas.get(cutId)?.commitIndex, this.replicas.get(leaderId)?.commitIndex);
	const sent = this.bodies.reduce((sum, bytes) => sum + bytes, 0);
	const needed = this.changes * this.changeBytes;
	assert.ok(sent <= most * needed, `${(sent / needed).toFixed(1)} times: ${Math.round(sent / kilobyte)} KB in ${this.bodies.length} bodies`);
});

Then('no body held more than {int} KB', function (this: CatchUpWorld, most: number) {
	const largest = Math.max(...this.bodies);
	assert.ok(largest <= most * kilobyte, `${Math.round(largest / kilobyte)} KB`);
});
