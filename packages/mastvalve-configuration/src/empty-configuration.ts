/**
 * Initial configuration.
 */

import type {Configuration} from 'mastvalve-types';

/** Returns an empty configuration at revision 0. */
export const createEmptyConfiguration = (clusterId: string): Configuration => ({
	clusterId,
	revision: 0,
	version: 0,
	services: {},
	models: {},
	events: {},
	endpoints: {},
	placements: {},
});
