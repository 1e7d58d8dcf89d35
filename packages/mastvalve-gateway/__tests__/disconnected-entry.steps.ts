/**
 * Steps for an entry whose leader does not answer.
 */

import {strict as assert} from 'node:assert';
import {
	After, Given, Then, When, type World,
} from '@cucumber/cucumber';
import {PeerError} from 'mastvalve-cluster';
import {systemClock, waitFor} from 'mastvalve-utils';
import {err} from 'neverthrow';
import {LimitClient} from '../src/index.js';

type DisconnectedWorld = World & {disconnectedClient: LimitClient; disconnectedEnding: AbortController; answeredAfterMs: number[]};

const silenceMs = 150;

Given('an entry whose leader does not answer', function (this: DisconnectedWorld) {
	this.answeredAfterMs = [];
	this.disconnectedEnding = new AbortController();
	this.disconnectedClient = new LimitClient({
		entry: 'entry',
		client: {
			async call({address, path}) {
				await waitFor(silenceMs);
				return err(new PeerError(address, path, 'no answer'));
			},
		},
		readLeader: () => 'leader',
		readEntryCount: () => 1,
		random: () => 0,
		now: () => systemClock.now(),
		windowMs: 8000,
		signal: this.disconnectedEnding.signal,
		wait: waitFor,
		onEvent: () => undefined,
	});
});

After(function (this: DisconnectedWorld) {
	this.disconnectedEnding?.abort();
});

When('a request claims a permit, and {int} ms later one request claims a permit and one claims a cost from its workspace limit', async function (this: DisconnectedWorld, pauseMs: number) {
	const startedAt = systemClock.now();
	const note = async (answer: Promise<unknown>): Promise<void> => {
		await answer;
		this.answeredAfterMs.push(systemClock.now() - startedAt);
	};

	const claim = {
		endpoints: ['e'], urgency: 0, maxWaitMs: 0, reservation: undefined,
	};
	void note(this.disconnectedClient.claimPermit(claim, new Map([['e', 1]])));
	await waitFor(pauseMs);
	void note(this.disconnectedClient.claimPermit(claim, new Map([['e', 1]])));
	void note(this.disconnectedClient.claimCost({name: 'w', limit: undefined}, 1));
});

Then('all {int} claims are answered within {int} ms', async function (this: DisconnectedWorld, count: number, limitMs: number) {
	await waitFor(limitMs);
	assert.equal(this.answeredAfterMs.filter(ms => ms <= limitMs).length, count);
});
