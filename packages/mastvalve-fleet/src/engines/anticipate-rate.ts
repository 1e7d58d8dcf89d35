/**
 * Demand that may come soon. The demand for busy models moves on along the list in which operators declare them, so a
 * model behind a busy one counts as expected.
 */

/** How many places demand moves on at once, as far as both deployments have shown. */
const reach = 4;
/** What counts of the demand of a model that many places before. */
const share = 0.35;

/** The rate of each model now, or a share of those declared shortly before it, whichever is higher. */
export const anticipateRates = (models: readonly string[], rateOf: (model: string) => number): Map<string, number> => {
	const rates = models.map(model => rateOf(model));
	return new Map(models.map((model, rank) => {
		const before = rates.slice(Math.max(0, rank - reach), rank);
		return [model, Math.max(rates[rank] ?? 0, share * Math.max(0, ...before))];
	}));
};
