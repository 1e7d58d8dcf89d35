/**
 * Chooses one of the services of a route for a request.
 */

import type {RouteTarget} from './route.js';

/** Returns the service for a random number in [0, 1), in proportion to the weights; undefined when they sum to 0. */
export const chooseTarget = (targets: readonly RouteTarget[], random: number): string | undefined => {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let remaining = random * total;
	return targets.find(target => {
		remaining -= target.weight;
		return remaining < 0;
	})?.service;
};
