/**
 * Steps for the connections that an entry takes.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import {VirtualEntry, type VirtualStep} from './__fixtures__/virtual-entry.js';

type AdmissionWorld = World & {entry: VirtualEntry; burstEntry: VirtualEntry; requestMs: number; crowdFrom: number; crowdTo: number};

const stepMs = 10;
const msPerSecond = 1000;

/** Number of arrivals in a step at an even rate. */
const countArrivals = (perSecond: number, step: number): number =>
	Math.floor((step + 1) * perSecond * stepMs / msPerSecond) - Math.floor(step * perSecond * stepMs / msPerSecond);

const playSteps = (seconds: number, body: (step: number) => void): void => {
	Array.from({length: seconds * msPerSecond / stepMs}).forEach((_, step) => {
		body(step);
	});
};

const sum = (steps: readonly VirtualStep[], read: (step: VirtualStep) => number): number => steps.reduce((total, step) => total + read(step), 0);

Given('an entry that takes {int} ms of its processor for a request', function (this: AdmissionWorld, requestMs: number) {
	this.requestMs = requestMs;
	this.entry = new VirtualEntry(requestMs);
	this.burstEntry = new VirtualEntry(requestMs);
});

Given('an entry that takes {int} ms of its processor for a request, and everything that comes', function (this: AdmissionWorld, requestMs: number) {
	this.entry = new VirtualEntry(requestMs, {takesAll: true});
});

Given('an entry that takes {int} ms of its processor for a request, and accepts a connection when its other work is done', function (this: AdmissionWorld, requestMs: number) {
	this.entry = new VirtualEntry(requestMs, {acceptsSlowly: true});
});

When('for {int} s {int} connections a second arrive, evenly or {int} at once', function (this: AdmissionWorld, seconds: number, perSecond: number, burst: number) {
	const burstEvery = Math.round(burst * msPerSecond / perSecond / stepMs);
	playSteps(seconds, step => {
		this.entry.step(countArrivals(perSecond, step));
		this.burstEntry.step(step % burstEvery === 0 ? burst : 0);
	});
});

Then('none is closed', function (this: AdmissionWorld) {
	assert.equal(sum([...this.entry.steps, ...this.burstEntry.steps], ({closed}) => closed), 0);
});

When('after {int} s with {int} connections a second, {int} a second arrive for {int} s', function (this: AdmissionWorld, calmSeconds: number, calm: number, crowd: number, crowdSeconds: number) {
	this.crowdFrom = calmSeconds * msPerSecond;
	this.crowdTo = this.crowdFrom + (crowdSeconds * msPerSecond);
	playSteps(calmSeconds, step => {
		this.entry.step(countArrivals(calm, step));
	});
	playSteps(crowdSeconds, step => {
		this.entry.step(countArrivals(crowd, step));
	});
	playSteps(calmSeconds, step => {
		this.entry.step(countArrivals(calm, step));
	});
});

When('{int} connections a second arrive, and from second {int} to {int} its processor is five times slower', function (this: AdmissionWorld, perSecond: number, from: number, to: number) {
	this.crowdFrom = from * msPerSecond;
	this.crowdTo = to * msPerSecond;
	playSteps(to + 10, step => {
		const second = step * stepMs / msPerSecond;
		this.entry.step(countArrivals(perSecond, step), second >= from && second < to ? 5 : 1);
	});
});

const checkWaits = ({entry, crowdFrom, crowdTo, attach}: AdmissionWorld, seconds: number, limitMs: number): void => {
	const waits = entry.between(crowdFrom + (seconds * msPerSecond), crowdTo).filter(({taken}) => taken > 0).map(({waitMs}) => waitMs);
	attach(`longest wait ${Math.max(...waits)} ms`);
	assert.ok(Math.max(...waits) < limitMs, `longest wait ${Math.max(...waits)} ms`);
};

Then('from {int} s on, what is taken waits for less than {int} ms', function (this: AdmissionWorld, seconds: number, limitMs: number) {
	checkWaits(this, seconds, limitMs);
});

Then('from {int} s after that on, what is taken waits for less than {int} ms', function (this: AdmissionWorld, seconds: number, limitMs: number) {
	checkWaits(this, seconds, limitMs);
});

Then('the processor is busy for at least {float} of that time', function (this: AdmissionWorld, share: number) {
	const steps = this.entry.between(this.crowdFrom + (3 * msPerSecond), this.crowdTo);
	const busy = steps.filter(({isBusy}) => isBusy).length / steps.length;
	this.attach(`busy for ${busy}`);
	assert.ok(busy >= share, `busy for ${busy}`);
});

Then('in each second some connections are taken', function (this: AdmissionWorld) {
	const seconds = (this.crowdTo - this.crowdFrom) / msPerSecond;
	const counts = Array.from({length: seconds}, (_, second) => sum(this.entry.between(this.crowdFrom + (second * msPerSecond), this.crowdFrom + ((second + 1) * msPerSecond)), ({taken}) => taken));
	assert.ok(counts.every(count => count > 0), JSON.stringify(counts));
});

const checkReleased = ({entry, crowdTo}: AdmissionWorld, seconds: number): void => {
	assert.equal(sum(entry.between(crowdTo + (seconds * msPerSecond), Number.POSITIVE_INFINITY), ({closed}) => closed), 0);
};

Then('{int} s after the crowd every connection is taken again', function (this: AdmissionWorld, seconds: number) {
	checkReleased(this, seconds);
});

Then('{int} s after its end every connection is taken again', function (this: AdmissionWorld, seconds: number) {
	checkReleased(this, seconds);
});

Then('what is taken waits for more than {int} ms', function (this: AdmissionWorld, limitMs: number) {
	const waits = this.entry.between(this.crowdFrom, this.crowdTo).map(({waitMs}) => waitMs);
	assert.ok(Math.max(...waits) > limitMs);
});
