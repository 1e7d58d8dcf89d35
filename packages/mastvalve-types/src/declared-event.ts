/**
 * A burst that operators announce.
 */

/** An event, such as a library opening, with the memory it may claim. */
export type DeclaredEvent = {
	name: string;
	/** Local time of day, `HH:MM`, at which demand rises. */
	at: string;
	/** How long the demand lasts, in minutes. */
	minutes: number;
	/** Models that must be ready, each with its number of replicas. */
	models: EventModel[];
	/** Accelerator memory that it may claim in all, in the endpoints' unit. */
	memory: number;
};

/** What one event asks for one model. */
export type EventModel = {
	model: string;
	replicas: number;
};
