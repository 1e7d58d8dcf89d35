/**
 * What happens while a run goes on.
 */

import type {DeploymentShape} from './deployment-shape.js';
import type {DemandFactor} from './workload.js';

/** Times in ms. */
export type Scenario = {
	name: string;
	factor: (shape: DeploymentShape) => DemandFactor;
	/** Engines that are lost at `faultAt`. */
	lostEngines: (shape: DeploymentShape) => number[];
	/** Weights load this many times as slowly from `faultAt` on. */
	storeSlowdown: number;
	/** Load reports are frozen from `faultAt` on. */
	areReportsFrozen: boolean;
	/** Control has no leader for this long from `faultAt` on. */
	leaderlessMs: number;
	/** Share of orders that are lost from `faultAt` on. */
	lostOrders: number;
	/** Whether the burst was declared as an event. */
	isDeclared: boolean;
};

/** Length of a run. */
export const durationMs = 240_000;
/** When faults and bursts begin. */
export const faultAt = 80_000;
const burstUntil = 180_000;

const calm = (): DemandFactor => () => 1;

const burst = (shape: DeploymentShape): DemandFactor => (model, at) =>
	(shape.burst.models.includes(model) && at >= faultAt && at < burstUntil ? shape.burst.factor : 1);

/** Models in the middle of the popularity become ten times as wanted, without warning. */
const tenfold = (shape: DeploymentShape): DemandFactor => {
	const risen = new Set([5, 11, 17].map(index => index % shape.models.length));
	return (model, at) => (risen.has(model) && at >= faultAt ? 10 : 1);
};

const base: Scenario = {
	name: 'calm', factor: calm, lostEngines: () => [], storeSlowdown: 1, areReportsFrozen: false, leaderlessMs: 0, lostOrders: 0, isDeclared: false,
};

/** All scenarios. */
export const scenarios: Scenario[] = [
	base,
	{
		...base, name: 'burst, declared', factor: burst, isDeclared: true,
	},
	{...base, name: 'burst, not declared', factor: burst},
	{...base, name: 'tenfold', factor: tenfold},
	{...base, name: 'endpoint lost', lostEngines: () => [0]},
	{...base, name: 'failure domain lost', lostEngines: shape => Array.from({length: shape.engines}, (_, index) => index).filter(index => index % shape.failureDomains.length === 0)},
	{
		...base, name: 'store at a tenth', factor: tenfold, storeSlowdown: 10,
	},
	{
		...base, name: 'reports frozen', factor: burst, areReportsFrozen: true,
	},
	{
		...base, name: 'no leader for 60 s', factor: tenfold, leaderlessMs: 60_000,
	},
	{
		...base, name: 'half of orders lost', factor: tenfold, lostOrders: 0.5,
	},
];
