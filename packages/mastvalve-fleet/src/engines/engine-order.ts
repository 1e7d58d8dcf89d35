/**
 * Orders to engines.
 */

/** What an order asks for. */
export enum EngineOrderKind {
	Load = 'load',
	Unload = 'unload',
}

/** An order for a model, or for an adapter of a model that is there. */
export type EngineOrder = {kind: EngineOrderKind; model: string; adapter: string | undefined};
