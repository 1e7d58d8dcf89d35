/**
 * What an entry tells control's leader of its callers' demand.
 */

/** Demand since the last report. */
export type DemandReport = {
	/** Name of the entry. */
	entry: string;
	/** Requests by model, or by `model/adapter`. */
	requests: Record<string, number>;
	/** Those of them, by model, whose callers have no time for a load. */
	urgent: Record<string, number>;
	/** Time in which an engine without a queue begins an answer, as far as the entry has learned it, by model, ms. */
	headMs: Record<string, number>;
	/** What requests wait for now. */
	wanted: PendingDemand[];
	/** Endpoints that refused a request for a model or adapter which they were thought to hold. */
	suspects: string[];
	/** Endpoints at whose addresses nobody listened. */
	absent: string[];
	/** Endpoints whose answers said that they are leaving, until control has recorded it. */
	leaving: string[];
};

/** What the leader answers. */
export type DemandResponse = {
	/** Entries that have reported lately: they share what all of them together may ask for. */
	entries: number;
};

/** A model, or an adapter of one, that requests wait for. */
export type PendingDemand = {
	service: string;
	model: string;
	adapter?: string;
	/** Requests that wait for it. */
	waiting: number;
	/** Time left to the most pressing one, ms. */
	remainingMs: number;
};
