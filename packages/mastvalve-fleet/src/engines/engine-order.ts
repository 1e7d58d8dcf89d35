/**
 * Orders that control sends to engines.
 */

export enum EngineOrderKind {
	Load = 'load',
	Unload = 'unload',
}

/** An order for a model, or for an adapter of a resident model. */
export type EngineOrder = {kind: EngineOrderKind; model: string; adapter: string | undefined};
