/**
 * Steps of placement for services without measured work.
 */

import {strict as assert} from 'node:assert';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {Given, Then, type World} from '@cucumber/cucumber';
import {
	fitsInMemory, planModelMove, type EngineSpec, type EngineState, type ModelMove,
} from 'mastvalve-fleet';
import {createRandom, pickBelow, type Random} from 'mastvalve-utils';
import {countWaitingByModel, EngineDemand} from '../src/engines/engine-demand.js';

type UnmeasuredWorld = World & {moves: string[]};

const modelCount = 14;
const roundMs = 250;
const maxMovesPerRound = 3;

const createSpec = (random: Random): EngineSpec => ({
	slots: 64, tokenCapacity: 1000, weightCapacity: 300, adapterSlots: 0, storeLoadsPerSecond: 2,
	models: Array.from({length: modelCount}, (_, rank) => ({
		name: `m${rank}`, size: random() < 0.2 ? 50 : 100, storeLoadMs: 1000 + pickBelow(random, 8000), diskLoadMs: 1500, memoryLoadMs: 500, adapterCount: 0, adapterSize: 0,
	})),
});

const drawModels = (random: Random, count: number): string[] => [...new Set(Array.from({length: count}, () => `m${pickBelow(random, modelCount)}`))];

const createEngine = (random: Random, index: number): EngineState => ({
	id: `e${index}`, failureDomain: `d${index % 3}`, isReady: random() < 0.95, hasUnresolvedOrder: random() < 0.05,
	holds: drawModels(random, 3).map(name => ({name, adapters: []})), loading: undefined, retiring: undefined, loadingAdapters: [],
	...(random() < 0.1 && {limitPerSecond: 2}),
	inMemory: drawModels(random, 2), onDisk: drawModels(random, 5),
});

/** Loads end after four rounds on average. */
const progress = (random: Random, engine: EngineState): EngineState => (engine.loading === undefined || random() > 0.25
	? engine
	: {...engine, holds: [...engine.holds, {name: engine.loading, adapters: []}], loading: undefined});

const begin = (engine: EngineState, {load, evict}: ModelMove): EngineState => ({...engine, holds: engine.holds.filter(({name}) => name !== evict), loading: load});

const report = (demand: EngineDemand, random: Random, round: number): void => {
	const busiest = Math.floor(round / 20) * 2;
	const requests = Object.fromEntries(Array.from({length: 4}, (_, place) => [`m${(busiest + place) % modelCount}`, pickBelow(random, 8)]));
	const urgent = Object.fromEntries(Object.entries(requests).filter(() => random() < 0.8));
	const waiting = drawModels(random, pickBelow(random, 3));
	demand.recordReport({
		entry: `entry-${round % 4}`, requests, urgent, headMs: {[`m${busiest % modelCount}`]: 60 + pickBelow(random, 200)}, suspects: [], absent: [], leaving: [],
		wanted: waiting.map(model => ({
			service: 'llm', model, waiting: 1 + pickBelow(random, 4), remainingMs: 2000,
		})),
	});
};

const playFleet = (seed: number): string[] => {
	const random = createRandom(seed);
	let now = 0;
	const spec = createSpec(random);
	const demand = new EngineDemand(() => now);
	let engines = Array.from({length: 3 + pickBelow(random, 6)}, (_, index) => createEngine(random, index));
	if (random() < 0.5) {
		demand.seedExpectedDemand(spec, engines.length);
	}

	return Array.from({length: 60}).flatMap((_, round) => {
		now += roundMs;
		engines = engines.map(engine => progress(random, engine));
		report(demand, random, round);
		const outlook = demand.computeOutlook(spec);
		const pending = countWaitingByModel(demand.listPending('llm'), now);
		return Array.from({length: maxMovesPerRound}).flatMap(() => {
			const move = planModelMove({
				...outlook, spec, engines, pending, residencyMsOf: (id, model) => (id.length + model.length + round) * 300, availableStoreLoads: 2,
			});
			if (!move) {
				return [];
			}

			const target = engines.find(({id}) => id === move.engine);
			assert.ok(target && fitsInMemory(spec, target, move.load, move.evict));
			engines = engines.map(engine => (engine.id === move.engine ? begin(engine, move) : engine));
			return [`${seed}/${round}: ${move.engine} ${move.load} ${move.source} ${move.evict ?? '-'}`];
		});
	});
};

Given('40 random fleets whose demand is reported in 60 rounds each', function (this: UnmeasuredWorld) {
	this.moves = Array.from({length: 40}, (_, seed) => playFleet(seed + 1)).flat();
});

Then('their moves are those of {string}', function (this: UnmeasuredWorld, name: string) {
	const file = new URL(`__snapshots__/${name}`, import.meta.url);
	const text = `${this.moves.join('\n')}\n`;
	if (process.env.UPDATE_SNAPSHOTS === '1') {
		writeFileSync(file, text);
	}

	assert.equal(text, readFileSync(file, 'utf8'));
});
