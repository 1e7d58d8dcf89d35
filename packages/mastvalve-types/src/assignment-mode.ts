/**
 * How an endpoint holds a model.
 */

/** Whether a model sits in memory always or on demand. */
export enum AssignmentMode {
	/** Loaded and kept. */
	Resident = 'resident',
	/** Loaded when a caller asks, into the endpoint's room for that. */
	OnDemand = 'on-demand',
}
