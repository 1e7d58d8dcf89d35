/**
 * Steps of directing engines.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {configureEngines} from 'mastvalve-fakes/fleet';
import {
	FleetCommandKind, FleetMachine, type EngineModel, type FleetCommand, type Holdings,
} from 'mastvalve-fleet';
import {EngineScheduler} from '../src/engines/engine-scheduler.js';
import {VirtualTime} from '../../../features/support/virtual-time.js';
import {Answering, StandInEngine} from './__fixtures__/stand-in-engine.js';

type DirectorWorld = World & {time: VirtualTime; engine: StandInEngine; machine: FleetMachine; director: EngineScheduler; term: number | undefined; index: number; events: string[]; records: Holdings[]};

const roundMs = 100;

const createModel = (name: string): EngineModel => ({
	name, size: 100, storeLoadMs: 9000, diskLoadMs: 2000, memoryLoadMs: 800, adapterCount: 0, adapterSize: 0,
});

const apply = (world: DirectorWorld, command: FleetCommand): unknown => {
	world.index += 1;
	return world.machine.apply(command, world.index);
};

const report = (world: DirectorWorld): void => {
	const {phase: _phase, retiring: _retiring, loading: _loading, isOrdering: _isOrdering, orderedAt: _orderedAt, revision: _revision, ...own} = world.engine.endpoint;
	apply(world, {kind: FleetCommandKind.Report, report: {...own, sequence: world.index, onDisk: ['m3', 'm4']}});
};

/** Lets rounds go by, with a heartbeat in each. */
const play = async (world: DirectorWorld, ms: number): Promise<void> => {
	await Array.from({length: ms / roundMs}).reduce<Promise<void>>(async before => {
		await before;
		report(world);
		void world.director.runRound();
		await world.time.advance(roundMs);
	}, Promise.resolve());
};

const want = (world: DirectorWorld, ...models: string[]): void => {
	world.director.recordReport({
		entry: 'entry', requests: {}, urgent: {}, headMs: {}, suspects: [], absent: [], leaving: [], wanted: models.map(model => ({
			service: 'llm', model, waiting: 1, remainingMs: 20_000,
		})),
	});
};

Given('a fleet of one engine with 3 places that holds 2 models, and a holder of the orders', async function (this: DirectorWorld) {
	this.time = new VirtualTime();
	this.engine = new StandInEngine(this.time, 3, ['m1', 'm2']);
	this.machine = new FleetMachine();
	this.index = 0;
	this.events = [];
	this.records = [];
	this.term = 1;
	// With a former holder, no demand is expected before the first request.
	let holder = 'other';
	apply(this, configureEngines({
		slots: 4, tokenCapacity: 1000, weightCapacity: 300, adapterSlots: 0, storeLoadsPerSecond: 1, models: ['m1', 'm2', 'm3', 'm4'].map(name => createModel(name)),
	}));
	this.director = new EngineScheduler({
		machine: this.machine,
		clock: this.time.clock,
		wait: this.time.wait,
		port: this.engine.port,
		holder: 'me',
		readTerm: () => this.term,
		async claim() {
			const former = holder;
			holder = 'me';
			return former;
		},
		publish: async holdings => {
			this.records.push(holdings);
			apply(this, {kind: FleetCommandKind.RecordHoldings, holdings});
			return true;
		},
		orderLeaseMs: 3000,
		storeWindowMs: 5000,
		onEvent: (kind, detail) => {
			this.events.push(`${kind} ${detail}`);
		},
	});
	await play(this, 5000);
});

When('a load is ordered and gets no answer', async function (this: DirectorWorld) {
	this.engine.answering = [Answering.Lost, Answering.Lost, Answering.Lost];
	want(this, 'm3');
	await play(this, 300);
});

When('a load is ordered and is under way', async function (this: DirectorWorld) {
	want(this, 'm3');
	await play(this, 300);
	assert.deepEqual(this.engine.taken, ['load m3']);
	this.records = [];
});

When('the load ends', async function (this: DirectorWorld) {
	await play(this, 4000);
	assert.deepEqual(this.engine.holds.map(({name}) => name), ['m1', 'm2', 'm3']);
});

Then('only what the holder has found after its second claim is recorded', function (this: DirectorWorld) {
	assert.deepEqual(this.records, [{
		id: 'e', adapters: {m1: [], m2: [], m3: []}, retiring: undefined, loading: undefined, isOrdering: true,
	}]);
});

When('the holder may not order for a moment, then claims the orders again in the same term', async function (this: DirectorWorld) {
	this.term = undefined;
	await play(this, 100);
	this.term = 1;
	await play(this, 200);
});

When('another model is wanted as well', async function (this: DirectorWorld) {
	await Array.from({length: 4}).reduce<Promise<void>>(async before => {
		await before;
		want(this, 'm4', 'm3');
		await play(this, 2000);
	}, Promise.resolve());
});

Then('the engine got no order that needed more places than there are', function (this: DirectorWorld) {
	assert.deepEqual(this.engine.excessive, []);
});

Then('nothing was ordered between the second claim and the next plan', function (this: DirectorWorld) {
	const claimed = this.events.findLastIndex(event => event.startsWith('orders.claimed'));
	const planned = this.events.findIndex((event, index) => index > claimed && event.startsWith('engine.moves'));
	assert.ok(planned > claimed);
	assert.deepEqual(this.events.slice(claimed + 1, planned), []);
});

Then('only one load was taken at a time', function (this: DirectorWorld) {
	assert.ok(this.engine.holds.length <= 3);
	assert.ok(this.engine.taken.some(order => order.startsWith('load')));
});

/** A start of empty engines before any request. */
type Start = {answering: Answering[]; holderChangesAt: number[]};

const starts = fc.record<Start>({
	answering: fc.array(fc.constantFrom(Answering.Normal, Answering.Normal, Answering.Lost, Answering.Late), {maxLength: 30}),
	holderChangesAt: fc.array(fc.integer({min: 10, max: 250}), {maxLength: 3}),
});

const storeLoadsPerSecond = 1.4;
const storeWindowMs = 5000;
const engineCount = 12;
const startRounds = 300;

/** Plays a start; the times at which loads from the store began, in order, ms. */
const playStart = async ({answering, holderChangesAt}: Start): Promise<number[]> => {
	const time = new VirtualTime();
	const machine = new FleetMachine();
	const engines = new Map(Array.from({length: engineCount}, (_, index): [string, StandInEngine] => [`e${index}`, new StandInEngine(time, 3, [], 0, `e${index}`)]));
	const answers = [...answering];
	let index = 0;
	let holder = '';
	let leader = 0;
	const applyCommand = (command: FleetCommand): unknown => {
		index += 1;
		return machine.apply(command, index);
	};

	applyCommand({
		kind: FleetCommandKind.Configure, stated: {
			source: '', configuration: {
				version: 1, routes: [], limits: {
					maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
				}, services: [{
					name: 'llm', healthPath: '/', maxConnections: 10, engine: {
						slots: 4, tokenCapacity: 1000, weightCapacity: 300, adapterSlots: 0, storeLoadsPerSecond, models: Array.from({length: 20}, (_, model) => createModel(`m${model}`)),
					},
				}],
			},
		},
	});
	const createNext = (term: number): EngineScheduler => new EngineScheduler({
		machine,
		clock: time.clock,
		wait: time.wait,
		port: {
			async sendOrder(order) {
				const engine = engines.get(order.endpointId)!;
				engine.answering = [answers.shift() ?? Answering.Normal];
				return engine.port.sendOrder(order);
			},
			readStatus: async id => engines.get(id)!.port.readStatus(id, ''),
		},
		holder: `holder-${term}`,
		readTerm: () => (leader === term ? term : undefined),
		async claim() {
			const former = holder;
			holder = `holder-${term}`;
			return former;
		},
		async publish(holdings) {
			applyCommand({kind: FleetCommandKind.RecordHoldings, holdings});
			return true;
		},
		orderLeaseMs: 3000,
		storeWindowMs,
		onEvent: () => undefined,
	});
	const directors = Array.from({length: holderChangesAt.length + 1}, (_, term) => createNext(term));
	await Array.from({length: startRounds}).reduce<Promise<void>>(async (before, _, round) => {
		await before;
		leader += holderChangesAt.includes(round) && leader < holderChangesAt.length ? 1 : 0;
		engines.forEach(engine => {
			const {phase: _phase, retiring: _retiring, loading: _loading, isOrdering: _isOrdering, orderedAt: _orderedAt, revision: _revision, ...own} = engine.endpoint;
			applyCommand({
				kind: FleetCommandKind.Report, report: {
					...own, sequence: index, inMemory: [], onDisk: [],
				},
			});
		});
		directors.forEach(director => {
			void director.runRound();
		});
		await time.advance(roundMs);
	}, Promise.resolve());
	return [...engines.values()].flatMap(({loadsBegunAt}) => loadsBegunAt).toSorted((a, b) => a - b);
};

Given('starts of {int} empty engines, with orders that are lost or late and holders that follow each other', (engines: number) => {
	assert.equal(engines, engineCount);
});

Then('in {int} random ones no window of {int} s has more loads from the store than its rate allows', {timeout: 60_000}, async (runs: number, windowS: number) => {
	assert.equal(windowS * 1000, storeWindowMs);
	const most = storeLoadsPerSecond * storeWindowMs / 1000;
	let loads = 0;
	await fc.assert(fc.asyncProperty(starts, async start => {
		const begun = await playStart(start);
		loads += begun.length;
		begun.forEach((from, first) => {
			const count = begun.slice(first).filter(at => at < from + storeWindowMs).length;
			assert.ok(count <= most, `${count} loads from ${from} ms on`);
		});
	}), {numRuns: runs, seed: 12});
	assert.ok(loads > runs, 'nothing was loaded');
});
