/**
 * Which of its services a route's request takes.
 */

import type {RouteTarget} from './route.js';

/** The service for a random number in [0, 1), in proportion to the weights. */
export const chooseTarget = (targets: readonly RouteTarget[], random: number): string | undefined => {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let left = random * total;
	return targets.find(target => {
		left -= target.weight;
		return left < 0;
	})?.service;
};
