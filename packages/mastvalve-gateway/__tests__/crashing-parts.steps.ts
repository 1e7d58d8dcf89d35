/**
 * Steps for parts of prompts that crash endpoints.
 */

import {strict as assert} from 'node:assert';
import {Given, Then, When} from '@cucumber/cucumber';
import {systemClock, waitFor} from 'mastvalve-utils';
import {CrashingEngines, crashingText} from './__fixtures__/crashing-engines.js';
import type {CrashWorld} from './__fixtures__/crash-world.js';
import {eventsHeader, runStream, soundHeader} from './__fixtures__/run-stream.js';

type PartWorld = CrashWorld & {
	/** The requests of the scenario; resolves when all have ended. */
	calls: Promise<unknown>;
};

const soundPerSecond = 30;
const msPerSecond = 1000;
/** Events of a short and of a long answer; a long one takes two seconds. */
const shortEvents = 8;
const longEvents = 50;
/** Every fourth sound request is a dialogue with a long answer. */
const dialogueEvery = 4;
/** Number of subjects, whose parts are shared by a few requests each. */
const subjects = 12;

/** Headers of a request with its parts; the last part belongs to the request itself. */
const withParts = (parts: string[], number: number, events = shortEvents): Record<string, string> =>
	({'x-parts': [...parts, `own-${number}`].join(','), [eventsHeader]: String(events)});

const soundHeaders = (number: number): Record<string, string> => {
	const subject = `subject-${number % subjects}`;
	return number % dialogueEvery === 0
		? withParts(['dialogue', subject], number, longEvents)
		: withParts(['common', subject], number);
};

/** Calls a function at a rate until a time has passed; resolves when all calls have ended. */
const callAtRate = async (perSecond: number, forMs: number, call: (number: number) => Promise<unknown>): Promise<void> => {
	await Promise.all(Array.from({length: Math.floor(perSecond * forMs / msPerSecond)}, async (_, number) => {
		await waitFor(number * msPerSecond / perSecond);
		await call(number);
	}));
};

Given('{int} engines that crash when they begin to answer a crashing part, and restart after {int} ms', async function (this: PartWorld, count: number, restartAfterMs: number) {
	this.crashingEngines = new CrashingEngines(this.following.single.control, restartAfterMs, runStream);
	await this.crashingEngines.start(count);
	await this.following.waitForEndpoints(count);
});

When('requests arrive for {int} ms: {int} a second with the crashing part as the {word} one, which is sound for {int} ms, and {int} sound ones', function (this: PartWorld, forMs: number, perSecond: number, position: string, soundMs: number, _sound: number) {
	const {following} = this;
	const startedAt = systemClock.now();
	this.calls = Promise.all([
		callAtRate(perSecond, forMs, async number => {
			const isSound = systemClock.now() - startedAt < soundMs;
			const headers = withParts(position === 'first' ? [crashingText, 'common'] : ['common', crashingText], number);
			await following.call(number % following.count, '/stream/x', `question ${number}`, isSound ? {...headers, [soundHeader]: '1'} : headers);
		}),
		callAtRate(soundPerSecond, forMs, async number => {
			this.others.push(await following.call(number % following.count, '/stream/x', `sound question ${number}`, soundHeaders(number)));
		}),
	]);
});

When('meanwhile nothing else happens', async function (this: PartWorld) {
	await this.calls;
});

When('meanwhile control ends after the third crash', async function (this: PartWorld) {
	const limit = 3;
	while (this.crashingEngines.crashed < limit) {
		// eslint-disable-next-line no-await-in-loop
		await waitFor(10);
	}

	await this.following.endControl();
	await this.calls;
});

/** Repeats an action until all calls have ended. */
const repeatDuring = async (world: PartWorld, pauseMs: number, act: (number: number) => Promise<void>): Promise<void> => {
	const state = {isOver: false};
	const calls = world.calls.finally(() => {
		state.isOver = true;
	});
	for (let number = 0; !state.isOver; number += 1) {
		// eslint-disable-next-line no-await-in-loop
		await waitFor(pauseMs);
		// eslint-disable-next-line no-await-in-loop
		await act(number);
	}

	await calls;
};

When('meanwhile an entry is replaced every {int} ms', async function (this: PartWorld, pauseMs: number) {
	await repeatDuring(this, pauseMs, async number => this.following.restart(number % this.following.count));
});

When('meanwhile engines crash every {int} ms for another reason', async function (this: PartWorld, pauseMs: number) {
	await repeatDuring(this, pauseMs, async number => {
		this.crashingEngines.crash(number % this.crashingEngines.count);
	});
});

Then('at most {int} requests with the crashing part have reached engines later than {int} ms after the fifth crash', function (this: PartWorld, limit: number, contactMs: number) {
	const {crashTimes, crashingArrivals} = this.crashingEngines;
	const fifth = crashTimes[4] ?? Number.POSITIVE_INFINITY;
	const late = crashingArrivals.filter(({at}) => at > fifth + contactMs);
	const text = `${crashTimes.length} engines crashed, ${crashingArrivals.length} requests reached engines, ${late.length} of them late`;
	this.attach(text);
	assert.ok(late.length <= limit, text);
});

Then('no sound request has been refused as quarantined', function (this: PartWorld) {
	const refused = this.following.logged.filter(({kind, fields}) => kind === 'request.given-up' && String(fields.reason).startsWith('quarantined'));
	const sound = new Set(this.others.map(({requestId}) => requestId));
	const wrong = refused.filter(({fields}) => sound.has(String(fields.request)));
	const served = this.others.filter(({status}) => status === 200).length;
	this.attach(`${refused.length} requests refused as quarantined; ${served} of ${this.others.length} sound ones served whole`);
	assert.deepEqual(wrong, []);
});
