/**
 * Steps of what engines hold when the first request comes.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {configureEngines} from 'mastvalve-fakes/fleet';
import {
	EndpointPhase, FleetCommandKind, FleetMachine, type EngineState, type FleetCommand, type FleetEndpoint, type ModelWork,
} from 'mastvalve-fleet';
import {EngineScheduler} from '../src/engines/engine-scheduler.js';
import {PlanningRound} from '../src/engines/planning-round.js';
import {OrderOutcome} from '../src/engines/engine-port.js';
import {VirtualTime} from '../../../features/support/virtual-time.js';
import {StandInEngine} from './__fixtures__/stand-in-engine.js';

type FirstDemandWorld = World & {
	time: VirtualTime; engines: StandInEngine[]; machine: FleetMachine; director: EngineScheduler; index: number; roundMs: number; spentMs: number; stillMs: number;
	/** Measured work; absent for a service whose work isn't measured. */
	work?: readonly ModelWork[];
};

const places = 3;
const roundMs = 100;
const modelCount = 36;

const apply = (world: FirstDemandWorld, command: FleetCommand): unknown => {
	world.index += 1;
	return world.machine.apply(command, world.index);
};

const reportAll = (world: FirstDemandWorld): void => {
	world.engines.forEach(engine => {
		const {phase: _phase, retiring: _retiring, loading: _loading, isOrdering: _isOrdering, orderedAt: _orderedAt, revision: _revision, ...own} = engine.endpoint;
		apply(world, {kind: FleetCommandKind.Report, report: {...own, sequence: world.index}});
	});
};

/** Lets rounds go by, with heartbeats in each; `hear` tells the demand of each round. */
const play = async (world: FirstDemandWorld, ms: number, hear: () => void = () => undefined): Promise<void> => {
	await Array.from({length: ms / roundMs}).reduce<Promise<void>>(async before => {
		await before;
		reportAll(world);
		hear();
		void world.director.runRound();
		await world.time.advance(roundMs);
	}, Promise.resolve());
};

/** The fleet's state; a round, which reads the configuration once when it begins nothing, takes its time by that. */
const countRounds = (world: FirstDemandWorld): FleetMachine => new Proxy(world.machine, {
	get(machine, name) {
		world.spentMs += name === 'configuration' ? world.roundMs : 0;
		const value: unknown = Reflect.get(machine, name, machine);
		return typeof value === 'function' ? value.bind(machine) as unknown : value;
	},
});

/** `former` is who gave orders before; when nobody did, demand is supposed by the order in which models are declared. */
const begin = async (world: FirstDemandWorld, held: readonly string[][], former = ''): Promise<void> => {
	world.time = new VirtualTime();
	world.machine = new FleetMachine();
	world.index = 0;
	world.roundMs = 0;
	world.spentMs = 0;
	world.engines = held.map((models, index) => new StandInEngine(world.time, places, models, 0, `e${index}`));
	apply(world, configureEngines({
		slots: 4, tokenCapacity: 1000, weightCapacity: places * 100, adapterSlots: 0, storeLoadsPerSecond: 4, models: Array.from({length: modelCount}, (_, rank) => ({
			name: `m${rank}`, size: 100, storeLoadMs: 2000, diskLoadMs: 2000, memoryLoadMs: 800, adapterCount: 0, adapterSize: 0,
		})),
	}));
	const find = (id: string): StandInEngine | undefined => world.engines.find(({endpoint}) => endpoint.id === id);
	world.director = new EngineScheduler({
		machine: countRounds(world),
		clock: {now: () => world.time.clock.now() + world.spentMs, wall: () => 0},
		wait: world.time.wait,
		port: {
			sendOrder: async order => find(order.endpointId)?.port.sendOrder(order) ?? OrderOutcome.Absent,
			readStatus: async (id, address) => find(id)?.port.readStatus(id, address),
		},
		holder: 'me',
		readTerm: () => 1,
		claim: async () => former,
		async publish(holdings) {
			apply(world, {kind: FleetCommandKind.RecordHoldings, holdings});
			return true;
		},
		orderLeaseMs: 3000,
		storeWindowMs: 5000,
		workOf: () => world.work,
		speedOf: () => undefined,
		onEvent: () => undefined,
	});
	await play(world, roundMs);
};

const inThrees = (models: readonly string[]): string[][] => Array.from({length: models.length / places}, (_, index) => models.slice(index * places, (index + 1) * places));

const names = (count: number): string[] => Array.from({length: count}, (_, rank) => `m${rank}`);

const listHeld = (world: FirstDemandWorld): string[] => world.engines.flatMap(({holds}) => holds.map(({name}) => name));

Given('12 full engines with 3 places, which hold {int} models once', async function (this: FirstDemandWorld, count: number) {
	await begin(this, inThrees(names(count)));
});

Given('12 full engines with 3 places, which hold {int} models once and {string} {int} times more', async function (this: FirstDemandWorld, count: number, doubled: string, more: number) {
	// One copy on each of the last engines, beside two other models.
	const once = names(count).filter(name => name !== doubled);
	const withCopy = Array.from({length: more + 1}, (_, index) => [...once.slice(index * 2, (index + 1) * 2), doubled]);
	await begin(this, [...withCopy, ...inThrees(once.slice((more + 1) * 2))]);
});

When('16 seconds go by before the first request', async function (this: FirstDemandWorld) {
	await play(this, 16_000);
});

When('{string} is asked for {int} times a second for {int} seconds', async function (this: FirstDemandWorld, model: string, rate: number, seconds: number) {
	await play(this, seconds * 1000, () => {
		const count = rate * roundMs / 1000;
		this.director.recordReport({
			entry: 'entry', requests: {[model]: count}, urgent: {[model]: count}, headMs: {}, suspects: [], absent: [], leaving: [], wanted: [],
		});
	});
});

Given('{string} has a measured work of {float} engines', function (this: FirstDemandWorld, model: string, engines: number) {
	this.work = [{model, readMsPerSecond: engines * 1000, answersInProgress: 0}];
});

Then('{string} is held {int} times', function (this: FirstDemandWorld, model: string, count: number) {
	assert.equal(listHeld(this).filter(name => name === model).length, count);
});

Then('{string} is held at least {int} times', function (this: FirstDemandWorld, model: string, least: number) {
	const count = listHeld(this).filter(name => name === model).length;
	assert.ok(count >= least, `${model} is held ${count} times`);
});

Then('{int} different models are held', function (this: FirstDemandWorld, count: number) {
	assert.equal(new Set(listHeld(this)).size, count);
});

Then('no load was ordered', function (this: FirstDemandWorld) {
	assert.deepEqual(this.engines.flatMap(({taken}) => taken), []);
});

Then('{string} is held more than once', function (this: FirstDemandWorld, model: string) {
	const count = listHeld(this).filter(name => name === model).length;
	assert.ok(count > 1, `${model} is held ${count} times`);
});

Given('a leader whose rounds take {int} ms each', async function (this: FirstDemandWorld, roundMs: number) {
	await begin(this, inThrees(names(modelCount)), 'other');
	this.roundMs = roundMs;
});

/** Lets entries report, each at its moment; with regular rounds between them. */
const reportFor = async (world: FirstDemandWorld, entries: number, seconds: number, regularRounds: number): Promise<void> => {
	const regularEvery = regularRounds === 0 ? Number.POSITIVE_INFINITY : Math.floor(entries / regularRounds);
	await Array.from({length: entries * seconds}).reduce<Promise<void>>(async (before, _, index) => {
		await before;
		world.director.recordReport({
			entry: `entry-${index % entries}`, requests: {}, urgent: {}, headMs: {}, suspects: [], absent: [], leaving: [], wanted: [],
		});
		if (index % regularEvery === 0 && regularRounds > 0) {
			await world.director.runRound();
		}

		await world.time.advance(1000 / entries);
	}, Promise.resolve());
};

When('{int} entries report in each of {int} seconds', async function (this: FirstDemandWorld, entries: number, seconds: number) {
	await reportFor(this, entries, seconds, 0);
});

When('{int} entries report in each of {int} seconds, and {int} regular rounds are due', async function (this: FirstDemandWorld, entries: number, seconds: number, regularRounds: number) {
	await reportFor(this, entries, seconds, regularRounds);
});

When('a round takes {int} ms, and {int} second goes by with {int} regular rounds', async function (this: FirstDemandWorld, stillMs: number, seconds: number, regularRounds: number) {
	await this.time.advance(roundMs);
	this.roundMs = stillMs;
	await this.director.runRound();
	this.roundMs = 1;
	this.stillMs = this.spentMs;
	await play(this, seconds * regularRounds * roundMs);
});

Then('there was another round', function (this: FirstDemandWorld) {
	assert.ok(this.spentMs > this.stillMs);
});

Then('rounds took less than {int} percent of the time', function (this: FirstDemandWorld, percent: number) {
	const share = this.spentMs / (this.time.clock.now() + this.spentMs);
	assert.ok(share > 0 && share * 100 < percent, `${(share * 100).toFixed(1)} percent`);
});

const toEndpoint = (id: string): FleetEndpoint => ({
	id, sequence: 1, service: 'llm', address: id, failureDomain: 'a', release: '', slots: 1, isLeaving: false, remainingMs: undefined, holds: [], inMemory: [], onDisk: [], phase: EndpointPhase.Ready, retiring: undefined, loading: undefined, isOrdering: false, orderedAt: 0, revision: 1,
});

Then('{int} random rounds see the engines as if they had described all of them anew', (runs: number) => {
	const step = fc.record({engine: fc.nat(7), loading: fc.option(fc.constantFrom('m1', 'm2'), {nil: undefined})});
	fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
		const begun = new Map<string, string | undefined>();
		const endpoints = names(8).map(id => toEndpoint(id));
		const describe = ({id, failureDomain, holds, inMemory, onDisk}: FleetEndpoint): EngineState => ({
			id, failureDomain, holds, inMemory, onDisk, isReady: true, hasUnresolvedOrder: false, loading: begun.get(id), retiring: undefined, loadingAdapters: [],
		});
		const round = new PlanningRound(endpoints, describe);
		steps.forEach(({engine, loading}) => {
			begun.set(`m${engine}`, loading);
			round.refresh(`m${engine}`);
			assert.deepEqual(round.engines, endpoints.map(endpoint => describe(endpoint)));
		});
	}), {numRuns: runs, seed: 1});
});
