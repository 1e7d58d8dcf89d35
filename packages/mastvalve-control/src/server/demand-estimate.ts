/**
 * Demand by model, from what entries report: a smoothed rate that rises at once and falls slowly.
 */

import type {DemandReport} from 'mastvalve-http';

/** Share of the old estimate that is left after one report of lower demand. */
const fallShare = 0.8;

/** An entry that has not reported for this long counts for nothing, ms. */
const forgetAfterMs = 30_000;

type EntryDemand = {rates: Map<string, number>; at: number};

/** The estimate of all entries. Times are monotonic ms. */
export class DemandEstimate {
	private readonly entries = new Map<string, EntryDemand>();

	/** Takes in an entry's report. */
	record(report: DemandReport, now: number): void {
		const rates = this.entries.get(report.entry)?.rates ?? new Map<string, number>();
		const models = new Set([...rates.keys(), ...Object.keys(report.requests)]);
		models.forEach(model => {
			const seen = (report.requests[model] ?? 0) / Math.max(report.seconds, 0.001);
			rates.set(model, Math.max(seen, (rates.get(model) ?? 0) * fallShare));
		});
		this.entries.set(report.entry, {rates, at: now});
	}

	/** Requests a second for a model over all entries. */
	rateOf(model: string, now: number): number {
		return [...this.entries.values()]
			.filter(({at}) => now - at < forgetAfterMs)
			.reduce((sum, {rates}) => sum + (rates.get(model) ?? 0), 0);
	}
}
