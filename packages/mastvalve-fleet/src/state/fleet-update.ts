/**
 * What an entry gets when it follows the fleet.
 */

import type {ServingConfiguration} from '../configuration/serving-configuration.js';
import type {FleetEndpoint} from './fleet-endpoint.js';

/** The changes since a revision. */
export type FleetUpdate = {
	/** Revision of the state after this update. */
	revision: number;
	/** Set when `endpoints` are all there are, and others must be forgotten. */
	isWhole: boolean;
	/** Set when it changed. */
	configuration: ServingConfiguration | undefined;
	endpoints: FleetEndpoint[];
};
