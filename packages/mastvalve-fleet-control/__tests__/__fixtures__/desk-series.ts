/**
 * Random series of moves at one stand-in engine, with orders that are lost or late and holders that come and go.
 */

import fc from 'fast-check';
import {
	EngineLedger, WeightSource, type AdapterName, type EngineOrder, type EngineSpec, type EngineState, type HeldModel,
} from 'mastvalve-fleet';
import {EngineController} from '../../src/engines/engine-controller.js';
import {VirtualTime} from '../../../../features/support/virtual-time.js';
import {Answering, StandInEngine} from './stand-in-engine.js';

/** Room for three models and two adapters; every model takes one of three places. */
const spec: EngineSpec = {
	slots: 1, tokenCapacity: 1, weightCapacity: 3, adapterSlots: 2, storeLoadsPerSecond: 1,
	models: Array.from({length: 6}, (_, index) => ({
		name: `m${index + 1}`, size: 1, storeLoadMs: 2000, diskLoadMs: 2000, memoryLoadMs: 2000, adapterCount: 5, adapterSize: 0,
	})),
};

/** A desk of a holder at a stand-in engine. */
export const createDesk = (time: VirtualTime, engine: StandInEngine, holder: string, isHolder: () => boolean = () => true, ledger = new EngineLedger()): EngineController =>
	new EngineController({
		id: 'e', port: engine.port, clock: time.clock, wait: time.wait, holder,
		// The holder named "one" is the first.
		soleHolderSince: holder === 'one' ? Number.NEGATIVE_INFINITY : time.clock.now(),
		readFence: () => (isHolder() ? 1 : undefined),
		readEndpoint: () => engine.endpoint,
		async publish(holdings) {
			// Only the holder's records are committed.
			const isCommitted = isHolder();
			engine.recorded = isCommitted ? holdings : engine.recorded;
			return isCommitted;
		},
		readSpec: () => spec,
		ledger,
		onEvent: () => undefined,
	});

/** Whether a move may be planned. */
export const mayMove = ({isReady, loading, retiring}: EngineState): boolean => isReady && loading === undefined && retiring === undefined;

/** Loads a model if the desk takes orders; the oldest model gives way when there is no place. */
export const tryMove = (desk: EngineController, engine: StandInEngine, places: number, model: string): void => {
	const state = desk.describe(engine.endpoint);
	if (!mayMove(state) || state.holds.some(({name}) => name === model)) {
		return;
	}

	const evict = state.holds.length < places && !state.hasUnresolvedOrder ? undefined : state.holds[0]?.name;
	void desk.moveModel({
		engine: 'e', load: model, evict, source: WeightSource.Disk,
	}, 2000);
};

/** One step of a series of moves of models. */
export type ModelStep = {answering: Answering; model: number; pauseMs: number; isNewHolder: boolean};

/** Series of moves of models. */
export const modelSteps = fc.array(fc.record<ModelStep>({
	answering: fc.constantFrom(Answering.Normal, Answering.Normal, Answering.Lost, Answering.Late),
	model: fc.integer({min: 1, max: 6}),
	pauseMs: fc.integer({min: 50, max: 4000}),
	isNewHolder: fc.boolean(),
}), {minLength: 5, maxLength: 25});

/** Plays a series of moves of models. */
export const playModels = async (series: readonly ModelStep[], places = 3): Promise<StandInEngine> => {
	const time = new VirtualTime();
	const engine = new StandInEngine(time, places, ['m1', 'm2']);
	let holder = 0;
	let desk = createDesk(time, engine, 'holder-0', () => holder === 0);
	await series.reduce<Promise<void>>(async (before, {answering, model, pauseMs, isNewHolder}) => {
		await before;
		if (isNewHolder) {
			holder += 1;
			const own = holder;
			desk = createDesk(time, engine, `holder-${own}`, () => holder === own);
		}

		engine.answering.push(answering);
		tryMove(desk, engine, 3, `m${model}`);
		await time.advance(pauseMs);
	}, Promise.resolve());
	await time.advance(30_000);
	return engine;
};

/** Loads an adapter if the desk takes orders; the first one gives way when no slot is free, unless the planner overlooks that. */
const tryAdapter = (desk: EngineController, engine: StandInEngine, adapter: string, isCareless: boolean): void => {
	const state = desk.describe(engine.endpoint);
	const held = state.holds.flatMap(({name, adapters}) => adapters.map(each => ({model: name, adapter: each})));
	const isThere = held.some(each => each.adapter === adapter) || state.loadingAdapters.some(name => name.endsWith(`/${adapter}`));
	const isFull = !isCareless && (held.length + state.loadingAdapters.length >= 2 || state.hasUnresolvedOrder);
	if (!mayMove(state) || isThere || (isFull && held.length === 0)) {
		return;
	}

	void desk.moveAdapter({
		engine: 'e', model: 'm1', load: adapter, evict: isFull ? held[0] : undefined,
	}, 10);
};

/** One step of a series of moves of adapters. */
export type AdapterStep = {answering: Answering; adapter: number; pauseMs: number; isNewHolder: boolean; mayOrder: boolean; isSuspected: boolean; inUse: number; isCareless: boolean};

/** Series of moves of adapters. */
export const adapterSteps = fc.array(fc.record<AdapterStep>({
	answering: fc.constantFrom(Answering.Normal, Answering.Normal, Answering.Lost, Answering.Late),
	adapter: fc.integer({min: 1, max: 5}),
	pauseMs: fc.constantFrom(5, 20, 300, 1000, 6000),
	isNewHolder: fc.constantFrom(false, false, false, true),
	mayOrder: fc.constantFrom(true, true, true, false),
	isSuspected: fc.constantFrom(false, false, false, true),
	inUse: fc.integer({min: 0, max: 5}),
	isCareless: fc.constantFrom(false, false, false, true),
}), {minLength: 5, maxLength: 30});

/** Plays a series of moves of adapters. */
export const playAdapters = async (series: readonly AdapterStep[], createLedger = () => new EngineLedger()): Promise<StandInEngine> => {
	const time = new VirtualTime();
	const engine = new StandInEngine(time, 3, ['m1', 'm2']);
	let holder = 0;
	let mayOrder = true;
	const createNext = (own: number): EngineController => createDesk(time, engine, `holder-${own}`, () => mayOrder && holder === own, createLedger());
	let desk = createNext(0);
	await series.reduce<Promise<void>>(async (before, step) => {
		await before;
		if (step.isNewHolder) {
			// As a holder does: it waits until the former one's orders can't come any more.
			await time.advance(4000);
			holder += 1;
			desk = createNext(holder);
		}

		mayOrder = step.mayOrder;
		engine.use([`m1/a${step.inUse}`]);
		engine.answering.push(step.answering);
		if (step.isSuspected) {
			desk.requestSync();
		}

		tryAdapter(desk, engine, `a${step.adapter}`, step.isCareless);
		await time.advance(step.pauseMs);
	}, Promise.resolve());
	await time.advance(30_000);
	return engine;
};

class GoneAtOnce extends EngineLedger {
	override beginLoad(adapter: AdapterName, evicted: AdapterName | undefined): void {
		super.beginLoad(adapter, evicted);
		if (evicted) {
			this.recordAdapterUnloaded(evicted, []);
		}
	}
}

class CountedWhenSeen extends EngineLedger {
	override recordSent(order: EngineOrder, recorded: readonly HeldModel[]): void {
		if (order.adapter === undefined) {
			super.recordSent(order, recorded);
		}
	}
}

class RefusedWithoutAnswer extends EngineLedger {
	private readonly sent: EngineOrder[] = [];

	override recordSent(order: EngineOrder, recorded: readonly HeldModel[]): void {
		super.recordSent(order, recorded);
		this.sent.push(order);
	}

	override endLoad(adapter: AdapterName): void {
		super.endLoad(adapter);
		this.sent.splice(0).forEach(order => {
			this.recordRefusal(order);
		});
	}
}

class NeverAsked extends EngineLedger {
	override mayOrder(): boolean {
		return true;
	}
}

/** Ledgers with one rule left out, by what is wrong with them. */
export const brokenLedgers: Readonly<Record<string, () => EngineLedger>> = {
	'what is to give way counts as gone at once': () => new GoneAtOnce(),
	'an order counts only once its end was seen': () => new CountedWhenSeen(),
	'an order without an answer counts as refused': () => new RefusedWithoutAnswer(),
	'an order is sent without asking whether it fits': () => new NeverAsked(),
};
