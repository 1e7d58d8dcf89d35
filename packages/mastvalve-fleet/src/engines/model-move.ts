/**
 * A model load on one engine, with its eviction.
 */

import type {WeightSource} from './weight-source.js';

export type ModelMove = {
	engine: string;
	load: string;
	/** Model to unload first. */
	evict: string | undefined;
	source: WeightSource;
};
