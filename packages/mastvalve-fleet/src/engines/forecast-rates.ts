/**
 * Demand that may come soon. The demand for busy models moves on along the list in which operators declare them, so a
 * model behind a busy one counts as expected.
 */

/** By how many places demand is supposed to move on until that was seen; `DemandStep` replaces it by what is seen. */
const defaultShifts = [2, 3];
/** What counts of the demand of a model that many places before, while the step is only supposed. */
const assumedShiftWeight = 0.75;
/** The same once the step was seen; below 1, since present demand goes before expected demand. */
const observedShiftWeight = 0.9;
/**
 * Part of that which counts two steps ahead: a load from the store takes 9 s, demand rests for 8 to 15 s between two
 * steps, so the first engine of such a model must be there before the step before.
 */
const secondShiftWeight = 0.4;

/** What anticipation rests on. */
export type ForecastInput = {
	/** In the order in which they are declared. */
	models: readonly string[];
	/** Requests a second now. */
	rateOf: (model: string) => number;
	/** Those of them whose callers have no time for a load; only this demand moves along the list. */
	urgentRateOf: (model: string) => number;
	/** Whether a model was asked for only by callers with time for a load; urgent demand does not reach it. */
	isLatencyTolerant: (model: string) => boolean;
	/** By how many places demand moved the last time; undefined until it was seen. */
	shift: number | undefined;
};

/** The rate of each model now, or a share of that of the models which it may follow, whichever is higher. */
export const forecastRates = ({models, rateOf, urgentRateOf, isLatencyTolerant: isPatient, shift: step}: ForecastInput): Map<string, number> => {
	const urgent = models.map(model => urgentRateOf(model));
	const steps = step === undefined ? defaultShifts : [step];
	const share = step === undefined ? assumedShiftWeight : observedShiftWeight;
	const expect = (rank: number): number => Math.max(...steps.map(places =>
		Math.max(urgent[rank - places] ?? 0, secondShiftWeight * (urgent[rank - (2 * places)] ?? 0))));
	return new Map(models.map((model, rank) => [model, Math.max(rateOf(model), isPatient(model) ? 0 : share * expect(rank))]));
};
