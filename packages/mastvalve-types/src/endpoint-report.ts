/**
 * What a sidecar tells control about its endpoint.
 */

import type {EndpointState} from './endpoint-state.js';

/** Sent when it changes, and with each heartbeat. */
export type EndpointReport = {
	endpointId: string;
	incarnation: number;
	/** Counts the reports of one incarnation; an older one that arrives late is passed over. */
	sequence: number;
	state: EndpointState;
	/** Models that the engine has proved to hold. */
	loaded: string[];
	/** Models whose load is under way or unproved. */
	loading: string[];
	/** Requests in progress. */
	running: number;
	/** Requests waiting for admission. */
	queued: number;
};
