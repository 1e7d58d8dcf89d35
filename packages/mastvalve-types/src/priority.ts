/**
 * Request priorities, set by the caller in the `Mastvalve-Priority` header.
 */

/** Priority classes, highest first. */
export enum Priority {
	/** A person is waiting for the response, for example at a service counter. */
	Interactive = 'interactive',
	/** Used when the caller sets no priority. */
	Standard = 'standard',
	/** Tolerates delay and yields to pending requests of the higher classes. */
	Batch = 'batch',
}

/** The classes in dispatch order, highest first. */
export const prioritiesByUrgency: readonly Priority[] = [Priority.Interactive, Priority.Standard, Priority.Batch];
