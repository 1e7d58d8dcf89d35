/**
 * What a replay has come to.
 */

import type {ReplayedEngine} from './replayed-engine.js';
import type {ReplayedRun} from './replayed-run.js';

const quantile = (values: readonly number[], share: number): number =>
	values.toSorted((a, b) => a - b)[Math.min(values.length - 1, Math.floor(share * values.length))] ?? Number.NaN;

const shareOf = (runs: readonly ReplayedRun[], isCounted: (run: ReplayedRun) => boolean): number => runs.filter(run => isCounted(run)).length / Math.max(1, runs.length);

/** Share of runs of a kind in their objective. */
export const shareInObjective = (runs: readonly ReplayedRun[], kind: string): number => shareOf(runs.filter(run => run.kind === kind), ({isInObjective}) => isInObjective);

/** Of the chats that began in time, the share with a pause that was too long. */
export const shareInterrupted = (runs: readonly ReplayedRun[]): number => shareOf(runs.filter(({kind, isInTime}) => kind === 'chat' && isInTime), ({isInterrupted}) => isInterrupted);

/** 90th percentile over the median of what engines take for half of the first bytes of a kind. */
export const spreadOfEngines = (runs: readonly ReplayedRun[], kind: string): number => {
	const medians = [...new Set(runs.map(({engine}) => engine))]
		.map(engine => runs.filter(run => run.engine === engine && run.kind === kind).map(({firstByteMs}) => firstByteMs))
		.filter(({length}) => length > 0)
		.map(times => quantile(times, 0.5));
	return quantile(medians, 0.9) / quantile(medians, 0.5);
};

/** Prompt tokens read by an engine of one speed, over those of an engine of another. */
export const ratioOfReading = (engines: readonly ReplayedEngine[], fast: number, slow: number): number => {
	const meanRead = (speed: number): number => {
		const chosen = engines.filter(({shape}) => shape.speed === speed);
		return chosen.reduce((sum, {readTokens}) => sum + readTokens, 0) / chosen.length;
	};

	return meanRead(fast) / meanRead(slow);
};
