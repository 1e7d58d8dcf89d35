/**
 * Demand and work by model at one point in time, for services whose work is measured.
 */

export type WorkOutlook = {
	/** Requests per second now. */
	rateOf: (model: string) => number;
	/** Requests per second over a long time. */
	longRateOf: (model: string) => number;
	/** Usual requests per second of a model when it is busy; 0 if it never was. */
	usualRateOf: (model: string) => number;
	isBusy: (model: string) => boolean;
	/** Whether an engine held it at some time, as far as is known. */
	wasHeld: (model: string) => boolean;
	/** Probability that a model which isn't busy is within the horizon. */
	returnProbability: (model: string) => number;
	/** Time for which demand for a busy model is expected to stay, s. */
	remainingSecondsOf: (model: string) => number;
	/** Time for which a copy is valued, s: the mean stay of demand. */
	horizonSeconds: number;
	/** Engine time that a request takes at usual speed, s. */
	secondsPerRequest: (model: string) => number;
	/** Work now, in engines of usual speed. */
	workOf: (model: string) => number;
	/** Whether it gets long prompts and answers that these must not interrupt. */
	isMixed: (model: string) => boolean;
	/** Speed of an engine; 1 is usual. */
	speedOf: (engine: string) => number;
};
