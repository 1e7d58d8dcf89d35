/**
 * The two kinds of services that stand behind mastvalve.
 */

/** What an endpoint of a service speaks. */
export enum ServiceKind {
	/** A model engine with the OpenAI-compatible HTTP interface. */
	Model = 'model',
	/** Any HTTP service. */
	Plain = 'plain',
}
