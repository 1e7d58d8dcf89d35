/**
 * Demand by model, from what entries report: a smoothed rate that rises at once and falls slowly.
 */

import type {DemandReport} from 'mastvalve-http';

/** Share of the old estimate that is left after one report of lower demand. */
const fallShare = 0.8;

/** The estimate of all entries. */
export class DemandEstimate {
	private readonly rates = new Map<string, Map<string, number>>();

	/** Takes in an entry's report. */
	record(report: DemandReport): void {
		const rates = this.rates.get(report.entry) ?? new Map<string, number>();
		const models = new Set([...rates.keys(), ...Object.keys(report.requests)]);
		models.forEach(model => {
			const seen = (report.requests[model] ?? 0) / Math.max(report.seconds, 0.001);
			rates.set(model, Math.max(seen, (rates.get(model) ?? 0) * fallShare));
		});
		this.rates.set(report.entry, rates);
	}

	/** Requests a second for a model over all entries. */
	rateOf(model: string): number {
		return [...this.rates.values()].reduce((sum, rates) => sum + (rates.get(model) ?? 0), 0);
	}
}
