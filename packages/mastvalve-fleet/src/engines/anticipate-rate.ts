/**
 * Demand that may come soon. The demand for busy models moves on along the list in which operators declare them, so a
 * model behind a busy one counts as expected.
 */

/** By how many places demand moves on until that was seen: what both deployments have shown. */
const usualSteps = [2, 3];
/** What counts of the demand of a model that many places before, while the step is only supposed. */
const supposedShare = 0.6;
/** The same once the step was seen; below 1, since present demand goes before expected demand. */
const seenShare = 0.9;

/** What anticipation rests on. */
export type AnticipationInput = {
	/** In the order in which they are declared. */
	models: readonly string[];
	/** Requests a second now. */
	rateOf: (model: string) => number;
	/** By how many places demand moved the last time; undefined until it was seen. */
	step: number | undefined;
};

/** The rate of each model now, or a share of that of the models which it may follow, whichever is higher. */
export const anticipateRates = ({models, rateOf, step}: AnticipationInput): Map<string, number> => {
	const rates = models.map(model => rateOf(model));
	const steps = step === undefined ? usualSteps : [step];
	const share = step === undefined ? supposedShare : seenShare;
	return new Map(models.map((model, rank) => {
		const before = steps.map(places => rates[rank - places] ?? 0);
		return [model, Math.max(rates[rank] ?? 0, share * Math.max(...before))];
	}));
};
