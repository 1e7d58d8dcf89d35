/**
 * The work that the requests for a model give to engines, as the leader measures it.
 */

export type ModelWork = {
	model: string;
	/** Time that an engine of usual speed needs to read its prompts, without the parts that engines keep, ms per second. */
	readMsPerSecond: number;
	/** Mean number of answers that are being generated. */
	answersInProgress: number;
	/** Whether it gets both long prompts and answers that these must not interrupt; absent if that is not known. */
	mixesKinds?: boolean;
};

/** Work measured for one service, and the speed of its engines. */
export type MeasuredWork = {
	models: readonly ModelWork[];
	/** Speed of an engine: 1 is usual, 0.5 half as fast; undefined if it was not measured. */
	speedOf: (engine: string) => number | undefined;
};

const msPerSecond = 1000;
/** Below these amounts of both, a model doesn't need a second engine to keep long prompts and answers apart. */
const minMixedReadMs = 150;
const minMixedAnswers = 2;

/** Returns the work in engines of usual speed: the share of time for reading and the share of the batch for answers. */
export const computeEngineTime = ({readMsPerSecond, answersInProgress}: ModelWork, slots: number): number =>
	(readMsPerSecond / msPerSecond) + (answersInProgress / Math.max(1, slots));

/** Whether a model has so much of both kinds of work that one engine can't keep them apart. */
export const isMixed = ({readMsPerSecond, answersInProgress, mixesKinds}: ModelWork): boolean =>
	(mixesKinds ?? true) && readMsPerSecond >= minMixedReadMs && answersInProgress >= minMixedAnswers;
