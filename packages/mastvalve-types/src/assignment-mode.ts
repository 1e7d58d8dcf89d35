/**
 * Modes in which endpoints hold models.
 */

/** Residency of an assigned model. */
export enum AssignmentMode {
	/** Loaded permanently. */
	Resident = 'resident',
	/** Loaded on request, into the endpoint memory available to on-demand models. */
	OnDemand = 'on-demand',
}
