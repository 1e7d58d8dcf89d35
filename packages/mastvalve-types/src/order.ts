/**
 * Orders from sidecars to model engines.
 */

import type {FencingToken} from './fencing-token.js';

/** Operation that an order requests. */
export enum OrderKind {
	Load = 'load',
	Unload = 'unload',
}

/** A load or unload order. */
export type Order = {
	kind: OrderKind;
	model: string;
	/** Accelerator memory of the model including its adapters. */
	size: number;
	/** Names of the adapters loaded or unloaded with the model. */
	adapters: string[];
	token: FencingToken;
};
