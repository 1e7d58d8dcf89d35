/**
 * Whether an endpoint can run requests for a model.
 */

import type {FleetEndpoint} from './fleet-endpoint.js';

/** Whether an endpoint holds a model, and the adapter if one is requested, and isn't retiring the model. */
export const holdsModel = (endpoint: Pick<FleetEndpoint, 'holds' | 'retiring'>, model: string | undefined, adapter: string | undefined): boolean => {
	if (model === undefined) {
		return true;
	}

	const held = endpoint.holds.find(candidate => candidate.name === model);
	return held !== undefined && endpoint.retiring !== model && (adapter === undefined || held.adapters.includes(adapter));
};
