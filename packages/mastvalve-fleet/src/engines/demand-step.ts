/**
 * Learns by how many places demand moves along the list of models: from the model that is asked for most, now and before.
 */

/** A model is taken for the busiest one only when it is ahead of all others by this factor. */
const leadFactor = 1.3;
/** Demand has not been seen to move further at once; a larger difference is another event. */
const maxStep = 6;

/** The learner. */
export class DemandStep {
	/** Places by which demand moved the last time; undefined until it was seen. */
	step: number | undefined;
	private busiestRank: number | undefined;

	/** Looks at the rates of all models, in the order in which they are declared, requests/s. */
	observe(rates: readonly number[]): void {
		const [first = 0, second = 0] = rates.toSorted((a, b) => b - a);
		if (first === 0 || first < second * leadFactor) {
			return;
		}

		const rank = rates.indexOf(first);
		const step = rank - (this.busiestRank ?? rank);
		this.busiestRank = rank;
		if (step > 0 && step <= maxStep) {
			this.step = step;
		}
	}
}
