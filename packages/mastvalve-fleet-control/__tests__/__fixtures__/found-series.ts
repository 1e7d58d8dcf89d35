/**
 * Series of moves of adapters in which proofs saw more slots needed than an engine has, shrunk; by the seed that found them.
 */

import {Answering} from './stand-in-engine.js';
import type {AdapterStep} from './desk-series.js';

const step = (more: Partial<AdapterStep>): AdapterStep => ({
	answering: Answering.Normal, adapter: 1, pauseMs: 5, isNewHolder: false, mayOrder: true, isSuspected: false, inUse: 0, isCareless: false, ...more,
});

/** The series. */
export const foundSeries: Readonly<Record<number, AdapterStep[]>> = {
	4: [
		step({pauseMs: 1000}),
		step({answering: Answering.Late}),
		step({pauseMs: 300}),
		step({adapter: 2, pauseMs: 300, isSuspected: true}),
		step({mayOrder: false}),
		step({pauseMs: 1000, isNewHolder: true}),
		step({adapter: 3, isCareless: true}),
	],
	18: [
		step({}),
		step({}),
		step({pauseMs: 6000}),
		step({answering: Answering.Late}),
		step({}),
		step({adapter: 2}),
		step({adapter: 3}),
		step({isSuspected: true}),
		step({pauseMs: 6000, mayOrder: false}),
		step({isCareless: true}),
	],
	99: [
		step({pauseMs: 6000}),
		step({answering: Answering.Late}),
		step({adapter: 2}),
		step({isSuspected: true}),
		step({pauseMs: 1000, inUse: 1}),
		step({}),
		step({}),
		step({}),
		step({}),
		step({adapter: 2}),
	],
	1003: [
		step({pauseMs: 1000}),
		step({answering: Answering.Lost, adapter: 2}),
		step({}),
		step({adapter: 2, pauseMs: 1000}),
		step({answering: Answering.Lost, adapter: 3}),
		step({isSuspected: true}),
		step({}),
		step({pauseMs: 1000, inUse: 1}),
		step({}),
		step({}),
		step({adapter: 2}),
	],
	31_337: [
		step({pauseMs: 1000}),
		step({adapter: 2, pauseMs: 1000}),
		step({}),
		step({adapter: 3, isSuspected: true}),
		step({adapter: 2, isSuspected: true}),
		step({inUse: 2}),
		step({isNewHolder: true}),
		step({}),
		step({pauseMs: 1000}),
		step({}),
		step({}),
	],
};
