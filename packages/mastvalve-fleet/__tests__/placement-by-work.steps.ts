/**
 * Steps of placement by work.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
	countAbsentModels, EndpointPhase, fitsInMemory, LearnedDemand, planModelMove, WeightSource, type EngineSpec, type EngineState, type ModelMove, type ModelPlanInput, type WorkOutlook,
} from '../src/index.js';
import {EngineWork} from '../src/engines/engine-work.js';
import {hasRoomForAll} from '../src/engines/room-for-all.js';

type Demand = {
	rates: Record<string, number>;
	secondsPerRequest: number;
	busy: string[];
	mixed: string[];
	usualRates: Record<string, number>;
	staySeconds: number;
	speeds: Record<string, number>;
	pending: Record<string, number>;
	/** Models that engines held at some time. */
	held: string[];
	/** Time until the deadline of the requests that wait, ms. */
	remainingMs: number;
	availableStoreLoads: number;
};

type WorkWorld = World & {engines: EngineState[]; demand: Demand};
type RoomWorld = World & {engines: EngineState[]};

const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

const spec: EngineSpec = {
	slots: 64, tokenCapacity: 1000, weightCapacity: 200, adapterSlots: 0, storeLoadsPerSecond: 4,
	models: names.map(name => ({
		name, size: 100, storeLoadMs: 4200, diskLoadMs: 440, memoryLoadMs: 340, adapterCount: 0, adapterSize: 0,
	})),
};

const quiet: Demand = {
	rates: {}, secondsPerRequest: 0.05, busy: [], mixed: [], usualRates: {}, staySeconds: 8, speeds: {}, pending: {}, held: [], remainingMs: 6000, availableStoreLoads: 20,
};

const engine = (index: number, held: readonly string[]): EngineState => ({
	id: String(index), failureDomain: `d${index % 2}`, isReady: true, hasUnresolvedOrder: false, holds: held.map(name => ({name, adapters: []})),
	loading: undefined, retiring: undefined, loadingAdapters: [], inMemory: [], onDisk: [],
});

const toOutlook = (demand: Demand): WorkOutlook => {
	const rateOf = (model: string): number => demand.rates[model] ?? 0;
	return {
		rateOf,
		longRateOf: rateOf,
		usualRateOf: model => demand.usualRates[model] ?? 0,
		isBusy: model => demand.busy.includes(model),
		wasHeld: model => demand.held.includes(model),
		returnProbability: model => (demand.usualRates[model] === undefined || demand.busy.includes(model) ? 0 : 0.4),
		remainingSecondsOf: () => demand.staySeconds,
		horizonSeconds: 8,
		secondsPerRequest: () => demand.secondsPerRequest,
		workOf: model => rateOf(model) * demand.secondsPerRequest,
		isMixed: model => demand.mixed.includes(model),
		speedOf: id => demand.speeds[id] ?? 1,
	};
};

const toInput = (engines: readonly EngineState[], demand: Demand): ModelPlanInput => ({
	spec,
	engines,
	pending: Object.entries(demand.pending).map(([model, waiting]) => ({model, waiting, remainingMs: demand.remainingMs})),
	rateOf: () => 0,
	timeToFirstByteMsOf: () => 125,
	expectedRateOf: () => 0,
	observedRateOf: () => 0,
	idleMsOf: () => 60_000,
	urgentIdleMsOf: () => 60_000,
	residencyMsOf: () => 60_000,
	availableStoreLoads: demand.availableStoreLoads,
	byWork: toOutlook(demand),
});

const plan = ({engines, demand}: WorkWorld): ModelMove | undefined => planModelMove(toInput(engines, demand));

const begin = (world: WorkWorld, held: readonly string[]): void => {
	world.engines = held.map((models, index) => engine(index, models.split(' ')));
	world.demand = quiet;
};

Given('engines that hold {string}', function (this: WorkWorld, held: string) {
	begin(this, held.split(', '));
});

Given('engine {int} has {string} on its disk', function (this: WorkWorld, index: number, model: string) {
	this.engines = this.engines.map(each => (each.id === String(index) ? {...each, onDisk: [model]} : each));
});

Given('engine {int} works at {float} of the usual speed', function (this: WorkWorld, index: number, speed: number) {
	this.demand = {...this.demand, speeds: {[index]: speed}};
});

Given('engine {int} loads {string}', function (this: WorkWorld, index: number, model: string) {
	this.engines = this.engines.map(each => (each.id === String(index) ? {...each, holds: each.holds.slice(1), loading: model} : each));
});

Given('engine {int} retires {string}', function (this: WorkWorld, index: number, model: string) {
	this.engines = this.engines.map(each => (each.id === String(index) ? {...each, retiring: model} : each));
});

Given('engine {int} has ended', function (this: WorkWorld, index: number) {
	this.engines = this.engines.map(each => (each.id === String(index) ? {...each, isReady: false} : each));
});

Given('engines held {string} before', function (this: WorkWorld, models: string) {
	this.demand = {...this.demand, held: models.split(' ')};
});

Given('the store allows {int} loads', function (this: WorkWorld, availableStoreLoads: number) {
	this.demand = {...this.demand, availableStoreLoads};
});

Given('{int} engines of 200 GB', function (this: RoomWorld, count: number) {
	this.engines = Array.from({length: count}, (_, index) => engine(index, []));
});

const setBusy = (world: WorkWorld, models: string, rate: number, seconds: number): void => {
	const busy = models.split(' ');
	const rates = Object.fromEntries(busy.map(model => [model, rate]));
	world.demand = {
		...world.demand, busy, rates, secondsPerRequest: seconds,
	};
};

When('{string} is busy with {int} requests per second, which each take {float} s', function (this: WorkWorld, model: string, rate: number, seconds: number) {
	setBusy(this, model, rate, seconds);
});

When('{string} are busy with {int} requests per second, which each take {float} s', function (this: WorkWorld, models: string, rate: number, seconds: number) {
	setBusy(this, models, rate, seconds);
});

When('demand for {string} is expected to stay for {int} s', function (this: WorkWorld, _model: string, staySeconds: number) {
	this.demand = {...this.demand, staySeconds};
});

When('{string} gets long prompts and chats', function (this: WorkWorld, model: string) {
	this.demand = {...this.demand, mixed: [model]};
});

When('{string} was busy before with {int} requests per second', function (this: WorkWorld, model: string, usual: number) {
	this.demand = {...this.demand, usualRates: {[model]: usual}};
});

When('{string} is asked for {float} times per second', function (this: WorkWorld, model: string, rate: number) {
	this.demand = {...this.demand, rates: {...this.demand.rates, [model]: rate}};
});

When('{string} are asked for {float} times per second', function (this: WorkWorld, models: string, rate: number) {
	this.demand = {...this.demand, rates: Object.fromEntries(models.split(' ').map(model => [model, rate]))};
});

When('{int} request(s) wait(s) for {string}', function (this: WorkWorld, waiting: number, model: string) {
	this.demand = {...this.demand, pending: {[model]: waiting}};
});

When('requests can wait for {int} s', function (this: WorkWorld, seconds: number) {
	this.demand = {...this.demand, remainingMs: seconds * 1000};
});

Then('{string} is loaded', function (this: WorkWorld, model: string) {
	assert.equal(plan(this)?.load, model);
});

Then('no load is planned', function (this: WorkWorld) {
	assert.equal(plan(this), undefined);
});

Then('a copy of {string} or {string} is evicted for it', function (this: WorkWorld, first: string, second: string) {
	assert.ok([first, second].includes(plan(this)?.evict ?? ''), JSON.stringify(plan(this)));
});

Then('a copy of {string} is evicted for it', function (this: WorkWorld, model: string) {
	assert.equal(plan(this)?.evict, model);
});

Then('engine {int} loads {string} from the disk', function (this: WorkWorld, index: number, model: string) {
	const {engine: id, load, source} = plan(this) ?? {};
	assert.deepEqual({id, load, source}, {id: String(index), load: model, source: WeightSource.Disk});
});

Then('an engine of another failure domain loads {string}', function (this: WorkWorld, model: string) {
	const move = plan(this);
	assert.equal(move?.load, model);
	assert.equal(this.engines.find(({id}) => id === move.engine)?.failureDomain, 'd1');
});

Then('another engine loads {string}', function (this: WorkWorld, model: string) {
	const move = plan(this);
	assert.equal(move?.load, model);
	assert.notEqual(move.engine, '0');
});

/** Plans moves until there is none. */
const planAll = (world: WorkWorld): ModelMove[] => {
	const move = plan(world);
	if (!move) {
		return [];
	}

	world.engines = world.engines.map(each => (each.id === move.engine ? {...each, loading: move.load} : each));
	return [move, ...planAll(world)];
};

Then('{string} are loaded by different engines without eviction, two of them at a time', function (this: WorkWorld, models: string) {
	const first = planAll(this);
	this.engines = this.engines.map(each => (each.loading === undefined ? each : {...each, holds: [...each.holds, {name: each.loading, adapters: []}], loading: undefined}));
	const moves = [...first, ...planAll(this)];
	assert.equal(first.length, 2);
	assert.deepEqual(moves.map(({load}) => load).toSorted(), models.split(' '));
	assert.equal(new Set(moves.map(({engine: id}) => id)).size, moves.length);
	assert.ok(moves.every(({evict}) => evict === undefined));
});

const toSpec = (sizes: readonly number[]): EngineSpec => ({
	...spec, models: spec.models.slice(0, sizes.length).map((model, index) => ({...model, size: sizes[index] ?? 0})),
});

const hasRoom = (engines: EngineState[], demand: Demand, sizes?: readonly number[]): boolean => hasRoomForAll({
	engines, outlook: toOutlook(demand), spec: sizes ? toSpec(sizes) : spec,
});

Then('models of {string} GB have room', function (this: RoomWorld, sizes: string) {
	assert.ok(hasRoom(this.engines, quiet, sizes.split(' ').map(Number)));
});

Then('models of {string} GB have no room', function (this: RoomWorld, sizes: string) {
	assert.ok(!hasRoom(this.engines, quiet, sizes.split(' ').map(Number)));
});

Then('{int} models are counted as absent', function (this: WorkWorld, count: number) {
	const endpoints = this.engines.map(({isReady, holds, retiring}) => ({
		service: 'llm', phase: isReady ? EndpointPhase.Ready : EndpointPhase.Gone, holds, retiring,
	}));
	assert.equal(countAbsentModels({name: 'llm', engine: spec}, endpoints), count);
});

Then('both engines work half of their time for {string}', function (this: WorkWorld, _model: string) {
	const work = new EngineWork(this.engines, toOutlook(this.demand));
	assert.deepEqual(this.engines.map(({id}) => work.utilizationOf(id)), [0.5, 0.5]);
});

const randomDemand = fc.record({
	rates: fc.dictionary(fc.constantFrom(...names), fc.double({min: 0, max: 30, noNaN: true})),
	busy: fc.subarray(names, {maxLength: 4}),
	mixed: fc.subarray(names),
	usualRates: fc.dictionary(fc.constantFrom(...names), fc.double({min: 1, max: 30, noNaN: true})),
	speeds: fc.dictionary(fc.constantFrom('0', '1', '2'), fc.double({min: 0.3, max: 1.5, noNaN: true})),
	pending: fc.dictionary(fc.constantFrom(...names), fc.integer({min: 1, max: 5})),
	held: fc.subarray(names),
	remainingMs: fc.constant(quiet.remainingMs),
	availableStoreLoads: fc.constant(quiet.availableStoreLoads),
	secondsPerRequest: fc.double({min: 0.01, max: 0.3, noNaN: true}),
	staySeconds: fc.double({min: 1, max: 15, noNaN: true}),
});

const createRandomEngines = (minLength: number, maxLength: number): fc.Arbitrary<EngineState[]> => fc.array(fc.record({
	held: fc.subarray(names, {maxLength: 2}), loading: fc.option(fc.constantFrom(...names), {nil: undefined}), onDisk: fc.subarray(names), isReady: fc.boolean(),
}), {minLength, maxLength}).map(drawn => drawn.map(({held, loading, onDisk, isReady}, index): EngineState => ({
	...engine(index, held), loading: held.length < 2 ? loading : undefined, onDisk, isReady,
})));

const randomEngines = createRandomEngines(1, 6);

const countCopies = (engines: readonly EngineState[], model: string): number => engines.filter(({holds}) => holds.some(({name}) => name === model)).length;

Then('{int} random fleets get only moves that fit and keep the last copy of each busy or awaited model', (runs: number) => {
	let moves = 0;
	fc.assert(fc.property(randomEngines, randomDemand, (engines, demand) => {
		const move = planModelMove(toInput(engines, demand));
		const target = engines.find(({id}) => id === move?.engine);
		if (!move || !target) {
			return;
		}

		moves += 1;
		assert.ok(target.isReady && target.loading === undefined);
		assert.ok(fitsInMemory(spec, target, move.load, move.evict));
		if (move.evict !== undefined && (demand.busy.includes(move.evict) || move.evict in demand.pending)) {
			assert.ok(countCopies(engines, move.evict) > 1);
		}
	}), {numRuns: runs, seed: 7});
	assert.ok(moves > runs / 10, `${moves} moves`);
});

Then('in {int} random fleets with room for all models no other load takes a last copy', (runs: number) => {
	let moves = 0;
	fc.assert(fc.property(createRandomEngines(5, 9), randomDemand, (engines, drawn) => {
		const demand = {...drawn, pending: {}};
		const move = hasRoom(engines, demand) ? planModelMove(toInput(engines, demand)) : undefined;
		if (!move || demand.busy.includes(move.load)) {
			return;
		}

		moves += 1;
		assert.ok(move.evict === undefined || countCopies(engines, move.evict) > 1);
	}), {numRuns: runs, seed: 10});
	assert.ok(moves > runs / 50, `${moves} moves`);
});

/** The fleet after a move has ended. */
const apply = (engines: readonly EngineState[], move: ModelMove): EngineState[] => engines.map(each => (each.id === move.engine
	? {
		...each, holds: [...each.holds.filter(({name}) => name !== move.evict), {name: move.load, adapters: []}], onDisk: [...new Set([...each.onDisk, move.load, move.evict ?? move.load])],
	}
	: each));

Then('in {int} random fleets no move is followed by its reversal while demand stays', (runs: number) => {
	let evictions = 0;
	fc.assert(fc.property(randomEngines, randomDemand, (engines, demand) => {
		const move = planModelMove(toInput(engines, demand));
		if (move?.evict === undefined) {
			return;
		}

		evictions += 1;
		const {[move.load]: _served, ...pending} = demand.pending;
		const next = planModelMove(toInput(apply(engines, move), {...demand, pending}));
		assert.ok(next?.engine !== move.engine || next.load !== move.evict || next.evict !== move.load);
	}), {numRuns: runs, seed: 8});
	assert.ok(evictions > runs / 20, `${evictions} evictions`);
});

Then('{int} random demands are judged alike with the models in another order', (runs: number) => {
	const arrivals = fc.array(fc.record({model: fc.constantFrom(...names), requests: fc.integer({min: 1, max: 4}), afterMs: fc.integer({min: 1, max: 600})}), {minLength: 5, maxLength: 60});
	fc.assert(fc.property(arrivals, fc.shuffledSubarray(names, {minLength: names.length}), (given, order) => {
		const judge = (models: readonly string[]): unknown[] => {
			const demand = new LearnedDemand();
			let now = 0;
			given.forEach(({model, requests, afterMs}) => {
				now += afterMs;
				demand.record(model, requests, now);
				demand.observe(models, now);
			});
			return names.map(model => [demand.isBusy(model), demand.rateOf(model, now).toFixed(6), demand.returnProbability(model, 8000, now).toFixed(6)]);
		};

		assert.deepEqual(judge(order), judge(names));
	}), {numRuns: runs, seed: 9});
});
