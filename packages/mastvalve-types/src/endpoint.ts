/**
 * Endpoints in the configuration.
 */

import type {EndpointState} from './endpoint-state.js';

/** An endpoint; each has one sidecar in front of it. */
export type Endpoint = {
	/** Unique name. */
	id: string;
	service: string;
	failureDomain: string;
	/** Base URL of the sidecar. */
	address: string;
	/** Accelerator memory; 0 for endpoints of plain services. */
	capacity: number;
	/** Revision of the join that started this incarnation; later incarnations have higher numbers. */
	incarnation: number;
	/** ID of the sidecar process that joined; a repeated join by the same process keeps the incarnation. */
	processId: string;
	state: EndpointState;
};
