/**
 * Evicts per-endpoint state once control reports the endpoint as gone.
 */

import type {FleetView} from '../fleet/fleet-view.js';
import type {EndpointTracker} from './endpoint-tracker.js';
import type {ModelDemand} from './model-demand.js';

/** Subscribes to the view. Nothing is evicted while a full state arrives in parts, since missing endpoints may follow in a later part. */
export const forgetGoneEndpoints = (view: FleetView, tracker: EndpointTracker, demand: ModelDemand): void => {
	view.subscribe(() => {
		if (view.hasAllEndpoints) {
			tracker.retainOnly(id => view.hasEndpoint(id));
			demand.retainLeaving(id => view.isAvailable(id));
		}
	});
};
