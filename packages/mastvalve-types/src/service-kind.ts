/**
 * Kinds of services that mastvalve routes to.
 */

/** Protocol of a service's endpoints. */
export enum ServiceKind {
	/** A model engine with an OpenAI-compatible HTTP API. */
	Model = 'model',
	/** Any HTTP service. */
	Plain = 'plain',
}
