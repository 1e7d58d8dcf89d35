/**
 * What one endpoint shall hold.
 */

import type {Assignment} from './assignment.js';

/** The assignments of one endpoint; their memory never exceeds its capacity. */
export type Placement = {
	endpointId: string;
	/** Incarnation of the endpoint for which it was made; a sidecar of another one ignores it. */
	incarnation: number;
	assignments: Assignment[];
	/** Models, of those that are to be resident, that the engine has proved to hold. */
	loaded: string[];
};
