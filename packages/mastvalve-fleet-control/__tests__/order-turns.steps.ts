/**
 * Steps of the turns of holders at engines, and of the store's rate over several holders.
 */

import {strict as assert} from 'node:assert';
import {
	Before, Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {StoreLoadLimiter, WeightSource, type FleetEndpoint} from 'mastvalve-fleet';
import {ForeignStoreLoads} from '../src/engines/foreign-store-loads.js';
import {FormerHolder, OrderLeaseGuard} from '../src/engines/order-lease-guard.js';
import {VirtualTime} from '../../../features/support/virtual-time.js';
import {StandInEngine} from './__fixtures__/stand-in-engine.js';

type Recorded = {endpoint: FleetEndpoint; at: number};
type TurnsWorld = World & {recorded: Recorded[]; turns: OrderLeaseGuard; rate: StoreLoadLimiter; bounds: {windowMs: number; loadsPerSecond: number}; noteBegin: (at: number) => void};

const template = new StandInEngine(new VirtualTime(), 3, []).endpoint;

const record = (world: TurnsWorld, endpoint: Partial<FleetEndpoint>, at: number): void => {
	world.recorded.push({endpoint: {...template, ...endpoint}, at});
};

Before(function (this: TurnsWorld) {
	this.recorded = [];
});

Given('engine {string} that was last ordered at {int} ms', function (this: TurnsWorld, id: string, at: number) {
	record(this, {id, orderedAt: 7}, at);
});

Given('engine {string} with an order since {int} ms that has not ended', function (this: TurnsWorld, id: string, at: number) {
	record(this, {id, orderedAt: 7, isOrdering: true}, at);
});

Given('engine {string} that was never ordered', function (this: TurnsWorld, id: string) {
	record(this, {id, orderedAt: 0}, 0);
});

When('an instance becomes the holder after another one at {int} ms, with a lease of {int} ms', function (this: TurnsWorld, at: number, leaseMs: number) {
	this.turns = new OrderLeaseGuard(leaseMs);
	// A record is seen when it comes; what was seen last stays.
	this.recorded.toSorted((a, b) => a.at - b.at).forEach((latest, index, all) => {
		const others = all.filter(each => each !== latest).map(({endpoint, at: later}, other) => (later > latest.at || other > index ? {...endpoint, orderedAt: 1} : endpoint));
		this.turns.observe([...others, latest.endpoint], latest.at);
	});
	this.turns.startClaim(at, FormerHolder.Other);
});

When('an instance that has just started becomes the holder after another one at {int} ms, with a lease of {int} ms', function (this: TurnsWorld, at: number, leaseMs: number) {
	this.turns = new OrderLeaseGuard(leaseMs);
	this.turns.observe(this.recorded.map(({endpoint}) => endpoint), at);
	this.turns.startClaim(at, FormerHolder.Other);
});

const findEngine = (world: TurnsWorld, id: string): FleetEndpoint => {
	const found = world.recorded.findLast(({endpoint}) => endpoint.id === id);
	assert.ok(found);
	return found.endpoint;
};

When('it orders {string} at {int} ms', function (this: TurnsWorld, id: string, at: number) {
	assert.equal(this.turns.mayOrder(findEngine(this, id), at), true);
	record(this, {id, orderedAt: 8, isOrdering: true}, at);
	this.turns.observe([findEngine(this, id)], at);
});

Then('it may order {string} from {int} ms on', function (this: TurnsWorld, id: string, from: number) {
	const endpoint = findEngine(this, id);
	assert.equal([9000, 10_999, 11_000, 11_999, 12_000].find(at => this.turns.mayOrder(endpoint, at)), from);
});

Then('it may order {string} again at {int} ms', function (this: TurnsWorld, id: string, at: number) {
	assert.equal(this.turns.mayOrder(findEngine(this, id), at), true);
});

type Step = {kind: 'order' | 'end' | 'claim'; holder: number; pauseMs: number};

const steps = fc.array(fc.record<Step>({
	kind: fc.constantFrom('order', 'order', 'end', 'claim'),
	holder: fc.integer({min: 0, max: 2}),
	pauseMs: fc.integer({min: 1, max: 4000}),
}), {minLength: 3, maxLength: 40});

const leaseMs = 3000;

/** Three instances and one engine; the result tells the shortest time between orders of two holders, ms. */
const playTurns = (series: readonly Step[], see: (endpoint: FleetEndpoint) => FleetEndpoint): number => {
	const instances = [0, 1, 2].map(() => new OrderLeaseGuard(leaseMs));
	let endpoint = {...template, orderedAt: 0};
	let revision = 0;
	let holder = 0;
	let now = 0;
	let last: {holder: number; at: number} | undefined;
	let shortest = Number.POSITIVE_INFINITY;
	series.forEach(({kind, holder: next, pauseMs}) => {
		now += pauseMs;
		revision += 1;
		if (kind === 'claim') {
			instances[next]?.startClaim(now, next === holder ? FormerHolder.Itself : FormerHolder.Other);
			holder = next;
		} else if (kind === 'end') {
			endpoint = {...endpoint, isOrdering: false, orderedAt: revision};
		} else if (instances[holder]?.mayOrder(see(endpoint), now)) {
			// The record comes before the order.
			endpoint = {...endpoint, isOrdering: true, orderedAt: revision};
			shortest = last && last.holder !== holder ? Math.min(shortest, now - last.at) : shortest;
			last = {holder, at: now};
		}

		instances.forEach(instance => {
			instance.observe([see(endpoint)], now);
		});
	});
	return shortest;
};

Then('300 random series of records, claims and orders keep the turns at every engine', () => {
	fc.assert(fc.property(steps, series => playTurns(series, endpoint => endpoint) >= leaseMs), {numRuns: 300, seed: 12});
});

Then('with a holder that ignores records the same series break them', () => {
	const broken = fc.check(fc.property(steps, series => playTurns(series, endpoint => ({...endpoint, orderedAt: 0})) >= leaseMs), {numRuns: 300, seed: 12});
	assert.equal(broken.failed, true);
});

Given('a store that allows {int} loads a second in windows of {int} ms', function (this: TurnsWorld, loadsPerSecond: number, windowMs: number) {
	this.rate = new StoreLoadLimiter();
	this.bounds = {loadsPerSecond, windowMs};
});

When('a former holder\'s records show a load from the store at {int} ms and one from disk', function (this: TurnsWorld, at: number) {
	const loads = new ForeignStoreLoads(this.rate);
	const endpoints = [WeightSource.Store, WeightSource.Disk].map((source, index): FleetEndpoint => ({
		...template, id: `e${index}`, loading: {model: 'm', expectedMs: 9000, source},
	}));
	loads.observe(endpoints, at);
	loads.observe(endpoints, at + 100);
});

When('a load is ordered at 0 ms and known to have begun at {int} ms', function (this: TurnsWorld, at: number) {
	const noteBegin = this.rate.reserve();
	assert.equal(this.rate.countAvailable(this.bounds, at - 1000), 9);
	noteBegin(at);
});

Then('{int} loads may begin at {int} ms', function (this: TurnsWorld, count: number, at: number) {
	assert.equal(this.rate.countAvailable(this.bounds, at), count);
});
