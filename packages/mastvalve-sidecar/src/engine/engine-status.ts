/**
 * What a model engine tells of itself.
 */

import type {FencingToken} from 'mastvalve-types';

/** The engine's own account of its memory. */
export type EngineStatus = {
	/** Models that are in memory. */
	loaded: string[];
	/** Models that are being loaded; their memory is taken already. */
	loading: string[];
	/** Accelerator memory of the engine. */
	capacity: number;
	/** Sequences of the orders that it has carried out or refused lately. */
	handled: FencingToken[];
};
