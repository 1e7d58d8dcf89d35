/**
 * Steps of orders to one engine.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {EngineOrderKind, WeightSource} from 'mastvalve-fleet';
import type {EngineController} from '../src/engines/engine-controller.js';
import {OrderOutcome, type SentOrder} from '../src/engines/engine-port.js';
import {OrderSequence} from '../src/engines/order-sequence.js';
import {VirtualTime} from '../../../features/support/virtual-time.js';
import {
	adapterSteps, brokenLedgers, createDesk, mayMove, modelSteps, playAdapters, playModels, tryMove,
} from './__fixtures__/desk-series.js';
import {foundSeries} from './__fixtures__/found-series.js';
import {Answering, StandInEngine} from './__fixtures__/stand-in-engine.js';

type DeskWorld = World & {time: VirtualTime; engine: StandInEngine; desk: EngineController; mayOrder: boolean; begunAt: number | undefined};

Given('an engine with 3 places that holds 2 models', function (this: DeskWorld) {
	this.time = new VirtualTime();
	this.engine = new StandInEngine(this.time, 3, ['m1', 'm2']);
});

When('the former holder has ordered a load that is still under way', function (this: DeskWorld) {
	this.engine.execute({
		endpointId: 'e', address: '', order: {kind: EngineOrderKind.Load, model: 'm3', adapter: undefined}, expectedCount: 0, holder: 'former', fence: 1,
	});
});

When('a new holder wants another model there', async function (this: DeskWorld) {
	this.desk = createDesk(this.time, this.engine, 'new');
	await Array.from({length: 10}).reduce<Promise<void>>(async before => {
		await before;
		tryMove(this.desk, this.engine, 3, 'm4');
		await this.time.advance(100);
	}, Promise.resolve());
});

Then('the engine gets no order that needs more places than there are', function (this: DeskWorld) {
	assert.deepEqual(this.engine.excessive, []);
	assert.deepEqual(this.engine.taken, ['load m3']);
});

Then('the new holder knows the load as soon as it has ended', async function (this: DeskWorld) {
	await this.time.advance(3000);
	// Whoever plans asks again and again; asking makes the desk read the state.
	this.desk.describe(this.engine.endpoint);
	await this.time.advance(500);
	const state = this.desk.describe(this.engine.endpoint);
	assert.equal(state.isReady, true);
	assert.deepEqual(state.holds.map(({name}) => name), ['m1', 'm2', 'm3']);
});

When('a load is under way and the holder may not order for a moment', async function (this: DeskWorld) {
	let mayOrder = true;
	this.desk = createDesk(this.time, this.engine, 'one', () => mayOrder);
	this.desk.requestSync();
	await this.time.advance(100);
	tryMove(this.desk, this.engine, 3, 'm3');
	await this.time.advance(100);
	mayOrder = false;
	await this.time.advance(200);
	mayOrder = true;
});

When('another model is wanted meanwhile', async function (this: DeskWorld) {
	await Array.from({length: 10}).reduce<Promise<void>>(async before => {
		await before;
		tryMove(this.desk, this.engine, 3, 'm4');
		await this.time.advance(100);
	}, Promise.resolve());
});

When('a load ends while heartbeats are lost', async function (this: DeskWorld) {
	this.desk = createDesk(this.time, this.engine, 'one');
	this.desk.requestSync();
	await this.time.advance(100);
	this.engine.loseHeartbeats();
	tryMove(this.desk, this.engine, 3, 'm3');
	await this.time.advance(5000);
});

Then('the new holder knows the load as soon as heartbeats arrive again', async function (this: DeskWorld) {
	this.engine.findHeartbeats();
	// Whoever plans asks again and again; asking makes the desk read the state.
	await Array.from({length: 10}).reduce<Promise<void>>(async before => {
		await before;
		this.desk.describe(this.engine.endpoint);
		await this.time.advance(100);
	}, Promise.resolve());
	const state = this.desk.describe(this.engine.endpoint);
	assert.equal(state.isReady, true);
	assert.deepEqual(state.holds.map(({name}) => name), ['m1', 'm2', 'm3']);
});

When('an order gets no answer and is carried out late', async function (this: DeskWorld) {
	this.desk = createDesk(this.time, this.engine, 'one');
	this.desk.requestSync();
	await this.time.advance(100);
	this.engine.answering = [Answering.Late];
	tryMove(this.desk, this.engine, 3, 'm3');
	await this.time.advance(20_000);
});

Then('the model is loaded once', function (this: DeskWorld) {
	assert.deepEqual(this.engine.taken, ['load m3']);
	assert.deepEqual(this.engine.holds.map(({name}) => name), ['m1', 'm2', 'm3']);
});

Given('two adapters fill its slots, both in use', async function (this: DeskWorld) {
	this.engine.holds = [{name: 'm1', adapters: ['a1', 'a2']}, {name: 'm2', adapters: []}];
	this.engine.inUse = ['m1/a1', 'm1/a2'];
	this.desk = createDesk(this.time, this.engine, 'one');
	this.desk.requestSync();
	await this.time.advance(100);
});

/** Loads a3 in the place of a1. */
const moveAdapter = async (world: DeskWorld): Promise<void> => {
	void world.desk.moveAdapter({
		engine: 'e', model: 'm1', load: 'a3', evict: {model: 'm1', adapter: 'a1'},
	}, 10);
	await world.time.advance(2000);
};

When('another adapter is to take the place of one of them', async function (this: DeskWorld) {
	await moveAdapter(this);
});

Then('the engine gets no order that needs more slots than there are', function (this: DeskWorld) {
	assert.deepEqual(this.engine.excessive, []);
	assert.deepEqual(this.engine.taken, ['unload m1/a1']);
});

When('the requests end and the adapter is wanted again', async function (this: DeskWorld) {
	this.engine.inUse = [];
	this.desk.describe(this.engine.endpoint);
	await this.time.advance(500);
	await moveAdapter(this);
});

Then('the engine holds it', function (this: DeskWorld) {
	assert.deepEqual(this.engine.excessive, []);
	assert.deepEqual(this.engine.holds[0]?.adapters, ['a2', 'a3']);
});

Given('a former holder that recorded a move and may have ordered it', function (this: DeskWorld) {
	this.engine.recorded = {
		id: 'e', adapters: {}, retiring: 'm1', loading: {model: 'm3', expectedMs: 2000, source: WeightSource.Disk}, isOrdering: true,
	};
});

When('a new holder has read the engine\'s state', async function (this: DeskWorld) {
	this.desk = createDesk(this.time, this.engine, 'new');
	this.desk.describe(this.engine.endpoint);
	await this.time.advance(500);
});

Then('no move is recorded, but that an order may still come', function (this: DeskWorld) {
	assert.deepEqual(this.engine.recorded, {
		id: 'e', adapters: {m1: [], m2: []}, retiring: undefined, loading: undefined, isOrdering: true,
	});
});

Then('no order is recorded as under way', function (this: DeskWorld) {
	assert.equal(this.engine.recorded?.isOrdering, false);
});

Then('only an order without need for room may be planned', function (this: DeskWorld) {
	const state = this.desk.describe(this.engine.endpoint);
	assert.deepEqual([state.isReady, state.hasUnresolvedOrder], [true, true]);
});

When('its first order is taken', async function (this: DeskWorld) {
	void this.desk.moveModel({
		engine: 'e', load: 'm4', evict: 'm1', source: WeightSource.Disk,
	}, 2000);
	await this.time.advance(5000);
});

Then('any order may be planned', function (this: DeskWorld) {
	const state = this.desk.describe(this.engine.endpoint);
	assert.deepEqual([state.isReady, state.hasUnresolvedOrder], [true, false]);
});

Given('one adapter that requests use, and one free slot', async function (this: DeskWorld) {
	this.engine.holds = [{name: 'm1', adapters: ['a1']}, {name: 'm2', adapters: []}];
	this.engine.inUse = ['m1/a1'];
	this.desk = createDesk(this.time, this.engine, 'one');
	await this.time.advance(1000);
	this.desk.describe(this.engine.endpoint);
	await this.time.advance(1000);
});

When('an adapter is loaded, and another one is to take the place of the one in use', async function (this: DeskWorld) {
	void this.desk.moveAdapter({
		engine: 'e', model: 'm1', load: 'a2', evict: undefined,
	}, 10);
	void this.desk.moveAdapter({
		engine: 'e', model: 'm1', load: 'a3', evict: {model: 'm1', adapter: 'a1'},
	}, 10);
	await this.time.advance(50);
});

When('whatever fits is loaded from then on', async function (this: DeskWorld) {
	await Array.from({length: 40}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		const state = this.desk.describe(this.engine.endpoint);
		const adapters = state.holds.flatMap(held => held.adapters).length + state.loadingAdapters.length;
		if (mayMove(state) && adapters < 2) {
			void this.desk.moveAdapter({
				engine: 'e', model: 'm2', load: `b${index}`, evict: undefined,
			}, 10);
		}

		await this.time.advance(50);
	}, Promise.resolve());
});

Then('no order needed more slots than there are', function (this: DeskWorld) {
	assert.deepEqual(this.engine.excessive, []);
	assert.ok(this.engine.taken.includes('load m1/a2'));
});

Given('two adapters fill its slots, none in use', async function (this: DeskWorld) {
	this.engine.holds = [{name: 'm1', adapters: ['a1', 'a2']}, {name: 'm2', adapters: []}];
	this.mayOrder = true;
	this.desk = createDesk(this.time, this.engine, 'one', () => this.mayOrder);
	// What the engine says of itself is older than the first question; the second one finds the adapters.
	this.desk.requestSync();
	await this.time.advance(1000);
	this.desk.requestSync();
	await this.time.advance(1000);
	assert.deepEqual(this.desk.describe(this.engine.endpoint).holds[0]?.adapters, ['a1', 'a2']);
});

When('another adapter is to take the place of one of them while the holder may not order for a moment', async function (this: DeskWorld) {
	this.mayOrder = false;
	void this.desk.moveAdapter({
		engine: 'e', model: 'm1', load: 'a3', evict: {model: 'm1', adapter: 'a1'},
	}, 10);
	await this.time.advance(50);
	this.mayOrder = true;
});

Then('the engine got no order that needed more slots than there are', function (this: DeskWorld) {
	assert.deepEqual(this.engine.excessive, []);
});

When('a load gets no answer and is given up since the holder may not order any more', async function (this: DeskWorld) {
	this.mayOrder = true;
	this.begunAt = undefined;
	this.desk = createDesk(this.time, this.engine, 'one', () => this.mayOrder);
	this.desk.requestSync();
	await this.time.advance(1000);
	this.engine.answering = [Answering.Lost];
	void this.desk.moveModel({
		engine: 'e', load: 'm3', evict: undefined, source: WeightSource.Store,
	}, 2000, () => {
		this.begunAt = this.time.clock.now();
	});
	await this.time.advance(100);
	this.mayOrder = false;
	await this.time.advance(400);
});

Then('it does not count as begun within 12 s, and does after 14 s', async function (this: DeskWorld) {
	await this.time.advance(12_000);
	assert.equal(this.begunAt, undefined);
	await this.time.advance(2000);
	assert.notEqual(this.begunAt, undefined);
});

type SequenceWorld = World & {sequence: OrderSequence; sent: SentOrder[]; answer: (outcome: OrderOutcome) => void; giving: Promise<unknown>};

const loadOrder = (model: string) => ({kind: EngineOrderKind.Load, model, adapter: undefined});

Given('a sequence of orders whose count is known, with an order under way', function (this: SequenceWorld) {
	const time = new VirtualTime();
	const {endpoint} = new StandInEngine(time, 3, []);
	this.sent = [];
	this.sequence = new OrderSequence({
		id: 'e',
		port: {
			sendOrder: async order => {
				this.sent.push(order);
				return new Promise<OrderOutcome>(resolve => {
					this.answer = resolve;
				});
			},
			readStatus: async () => undefined,
		},
		clock: time.clock,
		wait: time.wait,
		holder: 'one',
		soleHolderSince: Number.NEGATIVE_INFINITY,
		readFence: () => 1,
		readEndpoint: () => endpoint,
		onEvent: () => undefined,
	});
	this.sequence.setCount(4);
	this.giving = this.sequence.send(loadOrder('m1'));
});

When('the count is forgotten and the order is answered as taken', async function (this: SequenceWorld) {
	this.sequence.invalidateCount();
	this.answer(OrderOutcome.Accepted);
	await this.giving;
});

Then('the count is still unknown, and no order goes out before it was read', async function (this: SequenceWorld) {
	assert.equal(this.sequence.isCountKnown, false);
	await this.sequence.send(loadOrder('m2'));
	assert.deepEqual(this.sent.map(({order, expectedCount}) => [order.model, expectedCount]), [['m1', 4]]);
});

Then('60 random series of moves, lost orders, late orders and new holders overcommit no engine', {timeout: 60_000}, async () => {
	await fc.assert(fc.asyncProperty(modelSteps, async series => {
		const engine = await playModels(series);
		assert.deepEqual(engine.excessive, []);
		assert.ok(engine.holds.length <= 3);
	}), {numRuns: 60, seed: 8});
});

Then('{int} random series of adapter moves, lost orders, late orders, pauses of the holder and new holders overfill no slots', {timeout: 60_000}, async (runs: number) => {
	await fc.assert(fc.asyncProperty(adapterSteps, async series => {
		const engine = await playAdapters(series);
		assert.deepEqual(engine.excessive, []);
	}), {numRuns: runs, seed: 21});
});

Then('the series of seed {int} overfills no slots', async (seed: number) => {
	const engine = await playAdapters(foundSeries[seed]!);
	assert.deepEqual(engine.excessive, []);
});

Then('an account in which {string} lets some of {int} random series overfill the slots', {timeout: 60_000}, async (fault: string, runs: number) => {
	const found = await fc.check(fc.asyncProperty(adapterSteps, async series => {
		const engine = await playAdapters(series, brokenLedgers[fault]);
		return engine.excessive.length === 0;
	}), {numRuns: runs, seed: 21});
	assert.equal(found.failed, true);
});
