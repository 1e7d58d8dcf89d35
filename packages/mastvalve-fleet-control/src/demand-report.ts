/**
 * Messages in which an entry reports its callers' demand to the leader.
 */

/** Demand since the last report. */
export type DemandReport = {
	/** Name of the entry. */
	entry: string;
	/** Requests by model, or by `model/adapter`. */
	requests: Record<string, number>;
	/** Requests, by model, whose deadline is too short to wait for a load. */
	urgent: Record<string, number>;
	/** Measured time to first byte of an idle engine, by model, ms; only models that the entry has measured. */
	headMs: Record<string, number>;
	/** Models and adapters that requests currently wait for. */
	wanted: PendingDemand[];
	/** Endpoints that refused a request for a model or adapter that they hold according to the record. */
	suspects: string[];
	/** Endpoints at whose address no process listened. */
	absent: string[];
	/** Endpoints whose responses announced that they are leaving; repeated until control has recorded it. */
	leaving: string[];
	/** Number of entries as a leader has told it last: a new one doesn't know it. */
	knownEntries?: number | undefined;
};

/** Response of the leader. */
export type DemandResponse = {
	/** Number of entries whose last report has not expired; they share the limits that apply to all entries together. */
	entries: number;
};

/** A model, or an adapter of a model, that requests wait for. */
export type PendingDemand = {
	service: string;
	model: string;
	adapter?: string;
	/** Number of waiting requests. */
	waiting: number;
	/** Time until the earliest deadline among the waiting requests, ms. */
	remainingMs: number;
};
