/**
 * Drops what an entry has learned of endpoints once control says that they have ended.
 */

import type {FleetView} from '../fleet/fleet-view.js';
import type {EndpointTracker} from './endpoint-tracker.js';
import type {ModelDemand} from './model-demand.js';

/** Follows the view. While a whole state arrives in parts, endpoints that are missing may be in a later part. */
export const forgetGoneEndpoints = (view: FleetView, tracker: EndpointTracker, demand: ModelDemand): void => {
	view.subscribe(() => {
		if (view.hasAllEndpoints) {
			tracker.retainOnly(id => view.knows(id));
			demand.retainLeaving(id => view.isInUse(id));
		}
	});
};
