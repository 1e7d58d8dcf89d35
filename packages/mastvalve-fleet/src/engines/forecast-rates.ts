/**
 * Forecasts demand per model. Demand for busy models shifts along the list in which operators declare the models, so the
 * models that follow a busy one are expected to be requested soon.
 */

/** Shifts assumed until one is observed by `DemandShiftDetector`, in list positions. */
const defaultShifts = [2, 3];
/** Weight of the demand for the model one shift earlier in the list, while the shift is only assumed. */
const assumedShiftWeight = 0.75;
/** The same weight once a shift was observed; below 1, since current demand takes precedence over expected demand. */
const observedShiftWeight = 0.9;
/**
 * Additional factor for demand two shifts away. A load from the store takes 9 s and demand stays on a model for 8 to 15 s
 * between shifts, so the first engine of such a model must hold it before the preceding shift.
 */
const secondShiftWeight = 0.4;

/** Input of a forecast. */
export type ForecastInput = {
	/** Models in declaration order. */
	models: readonly string[];
	/** Current requests per second. */
	rateOf: (model: string) => number;
	/** Current requests per second whose deadline leaves no time for a load; only this demand shifts along the list. */
	urgentRateOf: (model: string) => number;
	/** Whether all requests for a model left time for a load; urgent demand does not shift to such a model. */
	isLatencyTolerant: (model: string) => boolean;
	/** Last observed shift, in list positions; undefined until one was observed. */
	shift: number | undefined;
};

/** Returns for each model the higher of its current rate and the weighted rate of the models it may follow, in requests per second. */
export const forecastRates = ({models, rateOf, urgentRateOf, isLatencyTolerant, shift}: ForecastInput): Map<string, number> => {
	const urgent = models.map(model => urgentRateOf(model));
	const shifts = shift === undefined ? defaultShifts : [shift];
	const weight = shift === undefined ? assumedShiftWeight : observedShiftWeight;
	const expectRate = (rank: number): number => Math.max(...shifts.map(positions =>
		Math.max(urgent[rank - positions] ?? 0, secondShiftWeight * (urgent[rank - (2 * positions)] ?? 0))));
	return new Map(models.map((model, rank) => [model, Math.max(rateOf(model), isLatencyTolerant(model) ? 0 : weight * expectRate(rank))]));
};
