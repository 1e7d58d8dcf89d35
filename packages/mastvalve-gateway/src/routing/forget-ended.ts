/**
 * Drops what an entry has learned of endpoints once control says that they have ended.
 */

import type {FleetView} from '../fleet/fleet-view.js';
import type {EndpointBoard} from './endpoint-board.js';
import type {ModelDemand} from './model-demand.js';

/** Follows the view. While a whole state arrives in parts, endpoints that are missing may be in a later part. */
export const forgetEnded = (view: FleetView, board: EndpointBoard, demand: ModelDemand): void => {
	view.subscribe(() => {
		if (view.hasAllEndpoints) {
			board.keepOnly(id => view.knows(id));
			demand.keepLeaving(id => view.isInUse(id));
		}
	});
};
