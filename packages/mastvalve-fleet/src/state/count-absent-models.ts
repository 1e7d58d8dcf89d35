/**
 * Counts the declared models that no endpoint holds, so that a request for them waits for a load. Pure functions.
 */

import type {ServedService} from '../configuration/served-service.js';
import {takesRequests, type FleetEndpoint} from './fleet-endpoint.js';

type Endpoint = Pick<FleetEndpoint, 'service' | 'phase' | 'holds' | 'retiring'>;

export const countAbsentModels = ({name, engine}: Pick<ServedService, 'name' | 'engine'>, endpoints: readonly Endpoint[]): number => {
	const held = new Set(endpoints
		.filter(endpoint => endpoint.service === name && takesRequests(endpoint))
		.flatMap(({holds, retiring}) => holds.map(model => model.name).filter(model => model !== retiring)));
	return (engine?.models ?? []).filter(model => !held.has(model.name)).length;
};
