/**
 * Replays demand that moves among models against a plan, in virtual time: no orders, no network, engines as queues.
 */

import {
	planModelMove, WeightSource, type EngineModel, type EngineSpec, type EngineState, type ModelMove, type ModelWork,
} from 'mastvalve-fleet';
import {
	createRandom, minBy, pickBelow, type Random,
} from 'mastvalve-utils';
import {countWaitingByModel, EngineDemand, type DemandOutlook} from '../../src/engines/engine-demand.js';

/** Durations of loads, ms. */
export type LoadTimes = Pick<EngineModel, 'storeLoadMs' | 'diskLoadMs' | 'memoryLoadMs'>;

/** Plans by rates, or by work with what is expected learned, taken from the list of models, or absent. */
export type Planner = 'rates' | 'work' | 'work, list' | 'work, nothing expected';

/** Engines, models and demand of a replay. */
export type ReplayFleet = {
	engines: number;
	/** Memory of an engine, MB. */
	weightCapacity: number;
	models: number;
	/** Share of the models that are small. */
	smallShare: number;
	busy: number;
	rarePerSecond: number;
	/** Engines that end together and are back empty after some time, ms. */
	crash?: {engines: number; atMs: number; awayMs: number};
};

/** Engines that can't hold all models beside copies of the busy ones. */
const crowdedFleet: ReplayFleet = {
	engines: 31, weightCapacity: 180_000, models: 52, smallShare: 0.1, busy: 6, rarePerSecond: 9,
};

export type ReplayInput = {
	seed: number;
	fleet?: ReplayFleet;
	/** Whether busy models are exchanged among the first ones, or follow each other along the list. */
	moves: 'set' | 'list';
	planner: Planner;
	times: LoadTimes;
	seconds: number;
	/** Told every move with the moment, ms. */
	onMove?: (move: ModelMove, now: number) => void;
};

export type ReplayResult = {
	loads: number;
	storeLoads: number;
	/** Shares of busy models' requests that found their model, and that began in time; of patient ones that were served. */
	found: number;
	inTime: number;
	patientServed: number;
	/** Share of patient callers' requests that found their model, of all and of those in the 15 s after engines ended. */
	patientFound: number;
	patientFoundAfterCrash: number;
	/** Loads that evicted the last copy of a model. */
	lastEvictions: number;
	/** Models without a copy, for each second. */
	absent: number[];
	/** Time after each shift from which 0.9 of the requests of a second found their model, and began in time, ms. */
	foundAfterMs: number[];
	inTimeAfterMs: number[];
	/** Difference of the engines' utilization, for each 5 s. */
	spreads: number[];
	/** The same among the engines that hold a model that is busy. */
	busySpreads: number[];
};

const stepMs = 25;
const planEvery = 4;
const shiftMs = 7500;
const entries = 26;
const smallSize = 34_000;
const largeSize = 72_700;
const crashWindowMs = 15_000;
const setSize = 13;
const busyPerSecond = 105;
const longReadMs = 87;
const chatReadMs = 24;
const answerSeconds = 2.3;
const objectiveMs = 450;
const minPatienceMs = 2000;
const maxPatienceMs = 8000;
const storeWindowMs = 5000;
const orderMs = 250;

type Engine = EngineState & {speed: number; busyUntil: number; workedMs: number; loadEndsAt: number; loadedAt: Map<string, number>};
type Request = {at: number; isFound: boolean; isInTime: boolean};
type Report = Record<'requests' | 'urgent', Record<string, number>>;
type Waiting = {model: string; deadlineAt: number; isCounted: boolean};

const createSpec = ({weightCapacity, models, smallShare}: ReplayFleet, times: LoadTimes, random: Random): EngineSpec => ({
	slots: 64, tokenCapacity: 130_000, weightCapacity, adapterSlots: 0, storeLoadsPerSecond: 4,
	models: Array.from({length: models}, (_, rank) => ({
		name: `m${rank}`, size: random() < smallShare ? smallSize : largeSize, ...times, adapterCount: 0, adapterSize: 0,
	})),
});

const createEngine = ({engines, models}: ReplayFleet, index: number, random: Random): Engine => {
	const first = `m${index % models}`;
	const second = `m${(index + engines) % models}`;
	const near = Array.from({length: 3}, () => `m${pickBelow(random, models)}`);
	return {
		id: `e${index}`, failureDomain: `d${index % 3}`, isReady: true, hasUnresolvedOrder: false, loading: undefined, retiring: undefined, loadingAdapters: [],
		holds: [first, second].map(name => ({name, adapters: []})),
		inMemory: [first, second], onDisk: [first, second, ...near], speed: random() < 0.5 ? 0.55 : 1.2, busyUntil: 0, workedMs: 0, loadEndsAt: 0, loadedAt: new Map(),
	};
};

const draw = (random: Random, perSecond: number): number => {
	const limit = Math.exp(-perSecond * stepMs / 1000);
	let count = -1;
	let product = 1;
	while (product > limit || count < 0) {
		product *= random();
		count += 1;
	}

	return count;
};

const mean = (values: readonly boolean[]): number => values.filter(Boolean).length / Math.max(1, values.length);

/** Replaces what the outlook expects of models that aren't busy. */
const expect = (outlook: DemandOutlook, planner: Planner): DemandOutlook => {
	const {byWork, expectedRateOf} = outlook;
	if (!byWork || planner === 'work') {
		return outlook;
	}

	const usualRateOf = (model: string): number => (planner === 'work, list' ? expectedRateOf(model) : 0);
	return {...outlook, byWork: {...byWork, usualRateOf, returnProbability: model => (!byWork.isBusy(model) && usualRateOf(model) >= 1 ? 1 : 0)}};
};

export const replayDemand = ({
	seed, moves, planner, times, seconds, onMove, fleet = crowdedFleet,
}: ReplayInput): ReplayResult => {
	const random = createRandom(seed);
	const spec = createSpec(fleet, times, random);
	const engines = Array.from({length: fleet.engines}, (_, index) => createEngine(fleet, index, random));
	const crashAt = fleet.crash?.atMs ?? Number.POSITIVE_INFINITY;
	let now = 0;
	const demand = new EngineDemand(() => now);
	if (planner === 'rates') {
		demand.seedExpectedDemand(spec, fleet.engines);
	}

	const longShares = spec.models.map(() => [0, 0.5, 1][pickBelow(random, 3)] ?? 0);
	let busy = Array.from({length: fleet.busy}, (_, rank) => (moves === 'list' ? rank : rank * 2));
	let waiting: Waiting[] = [];
	let storeLoads: number[] = [];
	const reports = Array.from({length: entries}, (): Report => ({requests: {}, urgent: {}}));
	const requests: Request[] = [];
	const patient: boolean[] = [];
	const patientFound: Array<{at: number; isFound: boolean}> = [];
	const work = new Map<string, {read: number; answers: number}>();
	const result: Pick<ReplayResult, 'loads' | 'storeLoads' | 'spreads' | 'busySpreads' | 'lastEvictions' | 'absent'> = {
		loads: 0, storeLoads: 0, spreads: [], busySpreads: [], lastEvictions: 0, absent: [],
	};
	const countCopies = (model: string): number => engines.filter(({holds}) => holds.some(({name}) => name === model)).length;

	const shift = (): void => {
		if (moves === 'list') {
			busy = busy.map(rank => (rank + 2) % fleet.models);
			return;
		}

		const others = Array.from({length: setSize}, (_, rank) => rank).filter(rank => !busy.includes(rank));
		Array.from({length: 2 + pickBelow(random, 2)}).forEach(() => {
			const [next] = others.splice(pickBelow(random, others.length), 1);
			busy[pickBelow(random, fleet.busy)] = next ?? 0;
		});
	};

	/** Runs a request at the holder with the least work of those that begin it soon, else at the one that begins it first; returns when its first byte comes, ms. */
	const serve = (model: string, readMs: number): number | undefined => {
		const endOf = ({busyUntil, speed}: Engine): number => Math.max(now, busyUntil) + (readMs / speed);
		const holders = engines.filter(({holds}) => holds.some(({name}) => name === model));
		const soon = holders.filter(engine => endOf(engine) - now <= objectiveMs / 2);
		const best = minBy(soon, ({workedMs}) => workedMs) ?? minBy(holders, endOf);
		if (best) {
			best.busyUntil = endOf(best);
			best.workedMs += readMs / best.speed;
		}

		return best?.busyUntil;
	};

	const ask = (model: string, readMs: number, isBusy: boolean): void => {
		const firstByteAt = serve(model, readMs);
		const report = reports[pickBelow(random, entries)];
		if (report) {
			report.requests[model] = (report.requests[model] ?? 0) + 1;
			if (isBusy) {
				report.urgent[model] = (report.urgent[model] ?? 0) + 1;
			}
		}

		const known = work.get(model) ?? {read: 0, answers: 0};
		work.set(model, {read: known.read + readMs, answers: known.answers + (readMs === chatReadMs ? answerSeconds : 0)});
		if (isBusy) {
			requests.push({at: now, isFound: firstByteAt !== undefined, isInTime: firstByteAt !== undefined && firstByteAt - now <= objectiveMs});
		} else if (firstByteAt !== undefined) {
			patient.push(true);
		}

		if (!isBusy) {
			patientFound.push({at: now, isFound: firstByteAt !== undefined});
		}

		if (firstByteAt === undefined) {
			waiting.push({model, deadlineAt: now + (isBusy ? objectiveMs : minPatienceMs + ((maxPatienceMs - minPatienceMs) * random())), isCounted: !isBusy});
		}
	};

	const arrive = (): void => {
		busy.forEach((rank, place) => {
			const share = (fleet.busy - place) / (fleet.busy * (fleet.busy + 1) / 2);
			Array.from({length: draw(random, busyPerSecond * share)}).forEach(() => {
				ask(`m${rank}`, random() < (longShares[rank] ?? 0) ? longReadMs : chatReadMs, true);
			});
		});
		Array.from({length: draw(random, fleet.rarePerSecond)}).forEach(() => {
			ask(`m${setSize + pickBelow(random, fleet.models - setSize)}`, chatReadMs, false);
		});
	};

	const report = (step: number): void => {
		reports.forEach((each, index) => {
			const isDue = step % (1000 / stepMs) === index;
			const isMissing = Object.keys(each.requests).some(model => waiting.some(item => item.model === model));
			if (!isDue && !isMissing) {
				return;
			}

			demand.recordReport({
				entry: `entry-${index}`, requests: each.requests, urgent: each.urgent, headMs: {}, suspects: [], absent: [], leaving: [], wanted: [],
			});
			each.requests = {};
			each.urgent = {};
		});
		demand.recordReport({
			entry: 'waiting', requests: {}, urgent: {}, headMs: {}, suspects: [], absent: [], leaving: [],
			wanted: waiting.map(({model, deadlineAt}) => ({
				service: 'llm', model, waiting: 1, remainingMs: deadlineAt - now,
			})),
		});
	};

	const begin = (move: ModelMove): void => {
		const engine = engines.find(({id}) => id === move.engine);
		if (engine) {
			const loadMs = {[WeightSource.Memory]: times.memoryLoadMs, [WeightSource.Disk]: times.diskLoadMs, [WeightSource.Store]: times.storeLoadMs}[move.source];
			result.lastEvictions += move.evict !== undefined && countCopies(move.evict) === 1 ? 1 : 0;
			engine.holds = engine.holds.filter(({name}) => name !== move.evict);
			engine.loading = move.load;
			engine.loadEndsAt = now + loadMs + (move.evict === undefined ? 0 : orderMs);
			result.loads += 1;
			if (move.source === WeightSource.Store) {
				result.storeLoads += 1;
				storeLoads.push(now);
			}
		}

		onMove?.(move, now);
	};

	const plan = (): void => {
		const models = [...work].map(([model, {read, answers}]): ModelWork => ({model, readMsPerSecond: read, answersInProgress: answers}));
		const outlook = expect(demand.computeOutlook(spec, planner === 'rates' ? undefined : {models, speedOf: id => engines.find(engine => engine.id === id)?.speed}), planner);
		demand.recordHeld(engines.flatMap(({holds}) => holds.map(({name}) => name)));
		storeLoads = storeLoads.filter(at => now - at < storeWindowMs);
		Array.from({length: 6}).some(() => {
			const move = planModelMove({
				...outlook, spec, engines: engines.filter(({isReady}) => isReady), pending: countWaitingByModel(demand.listPending('llm'), now), availableStoreLoads: (spec.storeLoadsPerSecond * storeWindowMs / 1000) - storeLoads.length,
				residencyMsOf: (id, model) => now - (engines.find(engine => engine.id === id)?.loadedAt.get(model) ?? Number.NEGATIVE_INFINITY),
			});
			if (move) {
				begin(move);
			}

			return move === undefined;
		});
	};

	const endLoads = (): void => {
		engines.filter(({loading, loadEndsAt}) => loading !== undefined && loadEndsAt <= now).forEach(engine => {
			const model = engine.loading ?? '';
			engine.holds = [...engine.holds, {name: model, adapters: []}];
			engine.loading = undefined;
			engine.loadedAt.set(model, now);
			engine.inMemory = [...new Set([model, ...engine.inMemory])].slice(0, 3);
			engine.onDisk = [...new Set([model, ...engine.onDisk])].slice(0, 6);
		});
		waiting = waiting.filter(({model, deadlineAt, isCounted}) => {
			const isServed = isCounted && serve(model, chatReadMs) !== undefined;
			const isOver = isServed || deadlineAt <= now;
			if (isOver && isCounted) {
				patient.push(isServed);
			}

			return !isOver;
		});
	};

	/** Ends engines together, or brings them back empty. */
	const crash = (): void => {
		engines.slice(0, fleet.crash?.engines ?? 0).forEach(engine => {
			if (now === crashAt) {
				Object.assign(engine, {
					isReady: false, loading: undefined, holds: [], inMemory: [], onDisk: [],
				});
			} else if (now === crashAt + (fleet.crash?.awayMs ?? 0)) {
				engine.isReady = true;
			}
		});
	};

	const measureSpread = (): void => {
		const busyNames = new Set(busy.map(rank => `m${rank}`));
		const spreadOf = (list: readonly Engine[]): number => {
			const shares = list.map(({workedMs}) => workedMs / 5000);
			return Math.max(...shares) - Math.min(...shares);
		};

		result.spreads.push(spreadOf(engines));
		result.busySpreads.push(spreadOf(engines.filter(({holds}) => holds.some(({name}) => busyNames.has(name)))));
		engines.forEach(engine => {
			engine.workedMs = 0;
		});
	};

	Array.from({length: seconds * 1000 / stepMs}).forEach((_, step) => {
		now = step * stepMs;
		if (step > 0 && now % shiftMs === 0) {
			shift();
		}

		work.forEach((each, model) => {
			work.set(model, {read: each.read * (1 - (stepMs / 1000)), answers: each.answers * (1 - (stepMs / 1000))});
		});
		crash();
		endLoads();
		arrive();
		report(step);
		if (step % planEvery === 0) {
			plan();
		}

		if (now % 1000 === 0) {
			result.absent.push(spec.models.filter(({name}) => countCopies(name) === 0).length);
		}

		if (step > 0 && now % 5000 === 0) {
			measureSpread();
		}
	});

	/** Returns the time after a shift from which 0.9 of the requests of a second are well, ms. */
	const recoveryOf = (isWell: (request: Request) => boolean): number[] =>
		Array.from({length: Math.ceil(seconds * 1000 / shiftMs) - 1}, (_, index) => (index + 1) * shiftMs).map(from => {
			const delays = Array.from({length: shiftMs / 100}, (_, tenth) => tenth * 100);
			return delays.find(delay => mean(requests.filter(({at}) => at >= from + delay && at < from + delay + 1000).map(request => isWell(request))) >= 0.9) ?? shiftMs;
		});
	return {
		...result, found: mean(requests.map(({isFound}) => isFound)), inTime: mean(requests.map(({isInTime}) => isInTime)), patientServed: mean(patient),
		patientFound: mean(patientFound.map(({isFound}) => isFound)),
		patientFoundAfterCrash: mean(patientFound.filter(({at}) => at >= crashAt && at < crashAt + crashWindowMs).map(({isFound}) => isFound)),
		foundAfterMs: recoveryOf(({isFound}) => isFound), inTimeAfterMs: recoveryOf(({isInTime}) => isInTime),
	};
};
