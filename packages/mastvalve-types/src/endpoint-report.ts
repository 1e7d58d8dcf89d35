/**
 * Status reports from sidecars to control.
 */

import type {EndpointState} from './endpoint-state.js';

/** State of one endpoint, sent on every change and with each heartbeat. */
export type EndpointReport = {
	endpointId: string;
	incarnation: number;
	/** Report number within the incarnation; reports that arrive out of order with a lower number are ignored. */
	sequence: number;
	state: EndpointState;
	/** Models that the engine has confirmed as loaded. */
	loaded: string[];
	/** Models whose load is in progress or not yet confirmed. */
	loading: string[];
	/** Requests in progress. */
	running: number;
	/** Requests waiting for admission. */
	queued: number;
};
