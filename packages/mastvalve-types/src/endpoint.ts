/**
 * An endpoint as the configuration knows it.
 */

import type {EndpointState} from './endpoint-state.js';

/** One endpoint behind one sidecar. */
export type Endpoint = {
	/** Unique name. */
	id: string;
	service: string;
	failureDomain: string;
	/** Base URL of its sidecar. */
	address: string;
	/** Accelerator memory; 0 for a plain service. */
	capacity: number;
	/** Revision of the join that began this life of it; every later life has a higher one. */
	incarnation: number;
	/** The sidecar process that joined; a resent join of the same process keeps its incarnation. */
	processId: string;
	state: EndpointState;
};
