/**
 * Orders to model engines.
 */

import type {FencingToken} from './fencing-token.js';

/** What an order asks for. */
export enum OrderKind {
	Load = 'load',
	Unload = 'unload',
}

/** One order of a sidecar to its engine. */
export type Order = {
	kind: OrderKind;
	model: string;
	/** Memory of the model with its adapters. */
	size: number;
	/** Adapters that go with it. */
	adapters: string[];
	token: FencingToken;
};
