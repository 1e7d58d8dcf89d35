/**
 * Demand peaks that operators declare in advance.
 */

/** An expected peak, such as a library opening, with its memory budget. */
export type DeclaredEvent = {
	name: string;
	/** Local time of day, `HH:MM`, at which demand rises. */
	at: string;
	/** Duration of the peak in minutes. */
	minutes: number;
	/** Models that must be loaded, with their replica counts. */
	models: EventModel[];
	/** Total accelerator memory that the event may use, in the unit of `Endpoint.capacity`. */
	memory: number;
};

/** Replicas of one model required by an event. */
export type EventModel = {
	model: string;
	replicas: number;
};
