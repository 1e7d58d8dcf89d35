/**
 * Urgency of a request, as the caller states it in the `Mastvalve-Priority` header.
 */

/** Classes of urgency, most urgent first. */
export enum Priority {
	/** Somebody stands at a counter. */
	Interactive = 'interactive',
	/** The default. */
	Standard = 'standard',
	/** May wait, and yields to a waiting caller. */
	Batch = 'batch',
}

/** The classes in the order in which they are served. */
export const prioritiesByUrgency: readonly Priority[] = [Priority.Interactive, Priority.Standard, Priority.Batch];
