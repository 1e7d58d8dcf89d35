/**
 * `npm run bench -- planning`: processor time of one round of planning at the leader, over the size of the fleet.
 *
 * The director runs as it is. Engines start full, with the weights of as many models again on their disks; they answer every
 * order and end none, so each round meets a few engines less. Entries report demand as a shift of it looks: a few busy
 * models, a long tail, and requests that wait for models and adapters which nobody holds.
 */

import {configureEngines} from 'mastvalve-fakes/fleet';
import {FleetCommandKind, FleetMachine, type EngineModel} from 'mastvalve-fleet';
import {EngineScheduler, OrderOutcome, type EnginePort} from 'mastvalve-fleet-control';
import {createRandom, pickBelow, type Random} from 'mastvalve-utils';
import type {BenchTable} from '../log/log-bench.js';
import {quantile} from '../statistics.js';

/** Sizes of a fleet. */
type FleetSize = {engines: number; models: number; entries: number};

/** From the smallest deployment to the size that is expected. */
const sizes: readonly FleetSize[] = [
	{engines: 8, models: 26, entries: 4},
	{engines: 40, models: 122, entries: 31},
	{engines: 82, models: 213, entries: 68},
	{engines: 300, models: 400, entries: 150},
	{engines: 1200, models: 800, entries: 300},
];
const placesPerEngine = 3;
const copiesPerEngine = 6;
const adaptersPerModel = 3;
const rounds = 8;
/** Time between two rounds, ms. */
const roundMs = 100;
/** Models that requests wait for, as a part of all. */
const wantedShare = 0.05;

const createModel = (index: number): EngineModel => ({
	name: `model-${index}`, size: 70_000, storeLoadMs: 8600, diskLoadMs: 1700, memoryLoadMs: 810, adapterCount: adaptersPerModel, adapterSize: 66,
});

/** Long-tailed demand: a few models get most requests. */
const drawModel = (random: Random, models: number): string => `model-${Math.floor(models * (random() ** 4))}`;

const createMachine = ({engines, models}: FleetSize, random: Random): FleetMachine => {
	const machine = new FleetMachine();
	machine.apply(configureEngines({
		slots: 64,
		tokenCapacity: 130_000,
		weightCapacity: 220_000,
		adapterSlots: 8,
		storeLoadsPerSecond: engines / 5,
		models: Array.from({length: models}, (_, index) => createModel(index)),
	}), 1);
	Array.from({length: engines}).forEach((_, index) => {
		const onDisk = Array.from({length: copiesPerEngine}, (__, place) => (place === 0 ? drawModel(random, models) : `model-${pickBelow(random, models)}`));
		machine.apply({
			kind: FleetCommandKind.Report,
			report: {
				id: `engine-${index}`, sequence: 1, service: 'llm', address: `10.0.${Math.floor(index / 250)}.${index % 250}:80`, failureDomain: `domain-${index % 5}`, release: 'v1', slots: 64, isLeaving: false, remainingMs: undefined,
				holds: [...new Set(onDisk)].slice(0, placesPerEngine).map(name => ({name, adapters: []})), inMemory: [], onDisk,
			},
		}, index + 2);
	});
	return machine;
};

const createPort = (machine: FleetMachine): EnginePort => ({
	sendOrder: async () => OrderOutcome.Accepted,
	readStatus: async id => ({
		holds: machine.find(id)?.holds ?? [], orderCount: 0, isBusy: false, inMemory: [], onDisk: [], loadingAdapters: [],
	}),
});

const hearDemand = (director: EngineScheduler, {entries, models}: FleetSize, random: Random): void => {
	const wanted = Array.from({length: Math.ceil(models * wantedShare)}, () => `model-${pickBelow(random, models)}`);
	Array.from({length: entries}).forEach((_, index) => {
		const asked = Array.from({length: 6}, () => drawModel(random, models));
		const requests = Object.fromEntries(asked.map(model => [`${model}/a1`, 1]));
		director.recordReport({
			entry: `entry-${index}`, requests, urgent: Object.fromEntries(asked.map(model => [model, 1])), headMs: {}, suspects: [], absent: [], leaving: [],
			wanted: wanted.filter(() => random() < 0.2).map(model => ({
				service: 'llm', model, adapter: 'a2', waiting: 1, remainingMs: 60_000,
			})),
		});
	});
};

/** Lets what rounds have begun go on. */
const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const never = new Promise<void>(() => {
	// Nothing resolves it.
});

type Reading = FleetSize & {medianMs: number; mostMs: number; moves: number};

const measure = async (size: FleetSize): Promise<Reading> => {
	const random = createRandom(1);
	const machine = createMachine(size, random);
	let now = 0;
	let moves = 0;
	const director = new EngineScheduler({
		machine,
		clock: {now: () => now, wall: () => now},
		// Nothing that an order has begun ends while the rounds are measured.
		wait: async () => never,
		port: createPort(machine),
		holder: 'bench',
		readTerm: () => 1,
		claim: async () => '',
		publish: async () => true,
		orderLeaseMs: 3000,
		storeWindowMs: 5000,
		onEvent(kind) {
			moves += kind === 'engine.moves' ? 1 : 0;
		},
	});
	await director.runRound();
	await director.runRound();
	await settle();
	const times: number[] = [];
	for (const _ of Array.from({length: rounds})) {
		now += roundMs;
		hearDemand(director, size, random);
		const startedAt = performance.now();
		// One round after the other, as at the leader.
		// eslint-disable-next-line no-await-in-loop
		await director.runRound();
		times.push(performance.now() - startedAt);
		// eslint-disable-next-line no-await-in-loop
		await settle();
	}

	return {
		...size, medianMs: quantile(times, 0.5), mostMs: Math.max(...times), moves,
	};
};

/** The table. */
export const benchPlanning = async (): Promise<BenchTable[]> => {
	await measure(sizes[1] ?? {engines: 1, models: 1, entries: 1});
	const readings: Reading[] = [];
	for (const size of sizes) {
		// Side by side they would take each other's processor.
		// eslint-disable-next-line no-await-in-loop
		readings.push(await measure(size));
	}

	return [{
		title: `one round of planning, ${rounds} rounds a size`,
		rows: [
			['engines', 'models', 'entries', 'median ms', 'most ms', 'moves begun'],
			...readings.map(({engines, models, entries, medianMs, mostMs, moves}) => [engines, models, entries, medianMs.toFixed(2), mostMs.toFixed(2), moves].map(String)),
		],
	}];
};
