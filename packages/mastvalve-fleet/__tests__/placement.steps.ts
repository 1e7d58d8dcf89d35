/**
 * Steps of model placement.
 */

import {strict as assert} from 'node:assert';
import {
	Given, Then, When, type World,
} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
	forecastRates, DemandShiftDetector, fitsInMemory, ModelDemandEstimate, planModelMove, WeightSource, type EngineSpec, type EngineState, type ModelPlanInput,
} from '../src/index.js';

type PlacementWorld = World & {held: string[]; plan: ModelPlanInput; shiftDetector: DemandShiftDetector; estimate: ModelDemandEstimate};

const spec: EngineSpec = {
	slots: 64, tokenCapacity: 1000, weightCapacity: 300, adapterSlots: 4, storeLoadsPerSecond: 1,
	models: ['a', 'b', 'c', 'd', 'e', 'f'].map(name => ({
		name, size: 100, storeLoadMs: 9000, diskLoadMs: 2000, memoryLoadMs: 800, adapterCount: 0, adapterSize: 0,
	})),
};

const engine = (id: string, models: readonly string[], more: Partial<EngineState> = {}): EngineState => ({
	id,
	failureDomain: 'a',
	isReady: true,
	hasUnresolvedOrder: false,
	holds: models.map(name => ({name, adapters: []})),
	loading: undefined,
	retiring: undefined,
	loadingAdapters: [],
	inMemory: [],
	onDisk: [],
	...more,
});

const planInput = (engines: readonly EngineState[], rates: Record<string, number>, wanted: readonly string[] = []): ModelPlanInput => ({
	spec,
	engines,
	pending: wanted.map(model => ({model, waiting: 1})),
	rateOf: model => rates[model] ?? 0,
	timeToFirstByteMsOf: () => 125,
	expectedRateOf: model => rates[model] ?? 0,
	observedRateOf: model => rates[model] ?? 0,
	idleMsOf: model => ((rates[model] ?? 0) > 0 ? 100 : 60_000),
	urgentIdleMsOf: model => ((rates[model] ?? 0) > 0 ? 100 : 60_000),
	residencyMsOf: () => 60_000,
	availableStoreLoads: 5,
});

Given('2 engines with free memory for one model each and no weights on their disks', function (this: PlacementWorld) {
	this.plan = planInput([engine('1', ['a', 'b']), engine('2', ['a', 'b'])], {});
});

When('requests for a rare model and for a busy one are queued', function (this: PlacementWorld) {
	this.plan = planInput(this.plan.engines, {c: 0.2, d: 8}, ['c', 'd']);
});

Then('the busy one is loaded first', function (this: PlacementWorld) {
	assert.equal(planModelMove(this.plan)?.load, 'd');
});

Given('2 engines of which one is loading and has the weights of a rare model on its disk', function (this: PlacementWorld) {
	this.plan = planInput([engine('1', ['a', 'b'], {loading: 'e', onDisk: ['c']}), engine('2', ['a', 'b'])], {});
});

When('requests for the rare model are queued', function (this: PlacementWorld) {
	this.plan = planInput(this.plan.engines, {c: 0.2}, ['c']);
});

Then('no move is planned', function (this: PlacementWorld) {
	assert.equal(planModelMove(this.plan), undefined);
});

Given('an idle engine without weights of {string}, and one with them on its disk whose model receives {float} requests per second', function (this: PlacementWorld, _model: string, rate: number) {
	this.plan = planInput([engine('1', ['a', 'c', 'd']), engine('2', ['b', 'c', 'd'], {onDisk: ['e']}), engine('3', ['b', 'c', 'd'])], {b: rate});
});

When('a request for {string} is queued, with {float} requests per second', function (this: PlacementWorld, model: string, rate: number) {
	this.plan = planInput(this.plan.engines, {b: this.plan.rateOf('b'), c: this.plan.rateOf('c'), [model]: rate}, [model]);
});

Then('it is loaded from the disk', function (this: PlacementWorld) {
	assert.equal(planModelMove(this.plan)?.source, WeightSource.Disk);
});

Given('2 engines with free memory for one more model, of which one holds {string} and accepts {float} requests per second', function (this: PlacementWorld, model: string, limitPerSecond: number) {
	this.plan = planInput([engine('1', [model, 'b'], {limitPerSecond}), engine('2', ['c', 'd'])], {});
});

When('demand for {string} is {float} requests per second', function (this: PlacementWorld, model: string, rate: number) {
	this.plan = planInput(this.plan.engines, {[model]: rate});
});

Then('{string} is loaded on the other engine', function (this: PlacementWorld, model: string) {
	const move = planModelMove(this.plan);
	assert.deepEqual([move?.load, move?.engine], [model, '2']);
});

Given('2 full engines that hold different models, all requested', function (this: PlacementWorld) {
	this.plan = planInput([engine('1', ['a', 'b', 'c']), engine('2', ['d', 'e', 'f'])], {
		a: 3.5, b: 3, c: 3, d: 3, e: 3, f: 3,
	});
});

Then('a model with more demand evicts none of them for a second engine', function (this: PlacementWorld) {
	assert.equal(planModelMove(this.plan), undefined);
});

/** Requests per second of each model, in list order. */
const ratesOf = (text: string): number[] => text.split(' ').map(Number);

/** Plan input of engines with all weights on disk; the models in `tolerant` are requested only by latency-tolerant callers. */
const planDemand = (held: readonly string[], text: string, tolerant: string): ModelPlanInput => {
	const rates = Object.fromEntries(ratesOf(text).map((rate, rank) => [names[rank] ?? '', rate]));
	const rateOf = (model: string): number => rates[model] ?? 0;
	const isLatencyTolerant = (model: string): boolean => tolerant.includes(model);
	const expected = forecastRates({
		models: names, rateOf, urgentRateOf: model => (isLatencyTolerant(model) ? 0 : rateOf(model)), isLatencyTolerant, shift: undefined,
	});
	const input = planInput(held.map((models, index) => engine(String(index), [...models], {onDisk: [...names]})), rates);
	return {
		...input,
		expectedRateOf: model => expected.get(model) ?? 0,
		urgentIdleMsOf: model => (isLatencyTolerant(model) ? 60_000 : input.idleMsOf(model)),
	};
};

Given('2 full engines that hold the models {string} and {string}', function (this: PlacementWorld, first: string, second: string) {
	this.held = [first, second];
});

When('the models are requested at {string} requests per second', function (this: PlacementWorld, text: string) {
	this.plan = planDemand(this.held, text, '');
});

When('the models are requested at {string} requests per second, {string} only by latency-tolerant callers', function (this: PlacementWorld, text: string, tolerant: string) {
	this.plan = planDemand(this.held, text, tolerant);
});

Then('{string} has a forecast rate of {float} requests per second', function (this: PlacementWorld, model: string, rate: number) {
	assert.equal(this.plan.expectedRateOf(model), rate);
});

Then('{string} is loaded first', function (this: PlacementWorld, model: string) {
	assert.equal(planModelMove(this.plan)?.load, model);
});

Then('{string} is evicted', function (this: PlacementWorld, model: string) {
	assert.equal(planModelMove(this.plan)?.evict, model);
});

When('a request for the model {string} is queued', function (this: PlacementWorld, model: string) {
	this.plan = {...this.plan, pending: [{model, waiting: 1}]};
});

Then('a move is planned that does not evict {string}', function (this: PlacementWorld, model: string) {
	const move = planModelMove(this.plan);
	assert.ok(move);
	assert.notEqual(move.evict, model);
});

Given('observed demand of {string} requests per second, then of {string}', function (this: PlacementWorld, first: string, second: string) {
	this.shiftDetector = new DemandShiftDetector();
	[first, second].forEach((text, index) => {
		[0, 500, 1000].forEach(later => {
			this.shiftDetector.observe(ratesOf(text), (index * 5000) + later);
		});
	});
});

When('demand is {string} requests per second for {int} ms', function (this: PlacementWorld, text: string, forMs: number) {
	this.shiftDetector.observe(ratesOf(text), 20_000);
	this.shiftDetector.observe(ratesOf(text), 20_000 + forMs);
	this.shiftDetector.observe(ratesOf('0 0 0 20 8 6'), 20_000 + forMs + 100);
});

Then('the shift is {int}', function (this: PlacementWorld, shift: number) {
	assert.equal(this.shiftDetector.shift, shift);
});

Then('no shift is detected', function (this: PlacementWorld) {
	assert.equal(this.shiftDetector.shift, undefined);
});

Then('at {string} requests per second the highest forecast rate of the other models is that of {string}', function (this: PlacementWorld, text: string, model: string) {
	const rates = ratesOf(text);
	const rateOf = (name: string): number => rates[names.indexOf(name)] ?? 0;
	const expected = forecastRates({
		models: names, rateOf, urgentRateOf: rateOf, isLatencyTolerant: () => false, shift: this.shiftDetector.shift,
	});
	const busiest = names[rates.indexOf(Math.max(...rates))];
	const [next] = [...expected].filter(([name]) => name !== busiest).toSorted(([, a], [, b]) => b - a);
	assert.equal(next?.[0], model);
});

Given('an estimate that expects {int} requests per second for {string}', function (this: PlacementWorld, rate: number, model: string) {
	this.estimate = new ModelDemandEstimate();
	this.estimate.setExpectedRates([[model, rate]]);
});

When('the first request arrives, for {string}', function (this: PlacementWorld, model: string) {
	this.estimate.record(model, 1, 0);
});

Then('{string} has an estimate above {int} requests per second {int} ms later', function (this: PlacementWorld, model: string, rate: number, laterMs: number) {
	assert.ok(this.estimate.rateOf(model, laterMs) > rate);
});

Then('{string} has an estimate below {int} request per second {int} ms later', function (this: PlacementWorld, model: string, rate: number, laterMs: number) {
	assert.ok(this.estimate.rateOf(model, laterMs) < rate);
});

const names = ['a', 'b', 'c', 'd', 'e', 'f'];

const randomEngine = fc.record({
	held: fc.subarray(names, {maxLength: 3}),
	loading: fc.option(fc.constantFrom(...names), {nil: undefined}),
	onDisk: fc.subarray(names),
	isReady: fc.boolean(),
}).map(({held, loading, onDisk, isReady}) => engine('', held, {
	loading: held.length < 3 ? loading : undefined, onDisk, isReady,
}));

Then('300 random fleets get only moves that fit', () => {
	const rates = fc.dictionary(fc.constantFrom(...names), fc.double({min: 0, max: 20, noNaN: true}));
	fc.assert(fc.property(fc.array(randomEngine, {minLength: 1, maxLength: 6}), rates, fc.subarray(names), (drawn, demand, wanted) => {
		const engines = drawn.map((each, index) => ({...each, id: String(index)}));
		const move = planModelMove(planInput(engines, demand, wanted));
		const target = engines.find(({id}) => id === move?.engine);
		if (move && target) {
			assert.ok(fitsInMemory(spec, target, move.load, move.evict));
			assert.ok(target.isReady && target.loading === undefined);
		}
	}), {numRuns: 300, seed: 5});
});

type SpeedWorld = World & {plan: ModelPlanInput};

const copies = ['a', 'b', 'c', 'd', 'e', 'f'];

Given('{int} engines, one of which holds {string}, with a time to first byte of {int} ms', function (this: SpeedWorld, count: number, model: string, firstByteMs: number) {
	const engines = Array.from({length: count}, (_, index) => engine(`${index}`, index === 0 ? [model] : [], {onDisk: copies}));
	this.plan = {...planInput(engines, {}), timeToFirstByteMsOf: () => firstByteMs};
});

When('{string} is requested at {float} requests per second', function (this: SpeedWorld, model: string, rate: number) {
	this.plan = {...planInput(this.plan.engines, {[model]: rate}), timeToFirstByteMsOf: this.plan.timeToFirstByteMsOf};
});

Then('another engine loads {string}: no', function (this: SpeedWorld, _model: string) {
	assert.equal(planModelMove(this.plan), undefined);
});

Then('another engine loads {string}: yes', function (this: SpeedWorld, model: string) {
	const move = planModelMove(this.plan);
	assert.equal(move?.load, model);
	assert.equal(move.engine, '1');
});

Given('2 engines, one of which holds {string} and a busy {string}', function (this: SpeedWorld, model: string, busy: string) {
	this.plan = planInput([engine('0', [model, busy], {onDisk: copies}), engine('1', [], {onDisk: copies})], {[model]: 2, [busy]: 3});
});

Then('another engine loads {string} or {string}', function (this: SpeedWorld, first: string, second: string) {
	const move = planModelMove(this.plan);
	assert.equal(move?.engine, '1');
	assert.ok([first, second].includes(move.load));
});

Given('a busy engine with {string}, one with high and one with low utilization', function (this: SpeedWorld, model: string) {
	this.plan = planInput([engine('0', [model], {onDisk: copies}), engine('1', ['b'], {onDisk: copies}), engine('2', ['c'], {onDisk: copies})], {[model]: 8, b: 3.5, c: 0.5});
});

Then('the one with low utilization loads {string}', function (this: SpeedWorld, model: string) {
	assert.deepEqual(planModelMove(this.plan), {
		engine: '2', load: model, evict: undefined, source: WeightSource.Disk,
	});
});

Given('an engine that holds a busy {string}, and another one on which a load of {string} is in flight', function (this: SpeedWorld, model: string, _loading: string) {
	this.plan = planInput([
		engine('0', [model, 'b', 'c'], {onDisk: copies}),
		engine('1', ['b', 'c'], {loading: model}),
	], {[model]: 14, b: 1, c: 1});
});

When('requests for {string} are queued', function (this: SpeedWorld, model: string) {
	this.plan = {...this.plan, pending: [{model, waiting: 3}]};
});

Then('{string} is not unloaded', function (this: SpeedWorld, model: string) {
	assert.notEqual(planModelMove(this.plan)?.evict, model);
});
