/**
 * Placements of models on endpoints.
 */

import type {Assignment} from './assignment.js';

/** The target assignments of one endpoint; their peak memory never exceeds its capacity. */
export type Placement = {
	endpointId: string;
	/** Incarnation of the endpoint that the placement was computed for; sidecars of other incarnations ignore it. */
	incarnation: number;
	assignments: Assignment[];
	/** Models assigned as resident that the engine has confirmed as loaded. */
	loaded: string[];
};
