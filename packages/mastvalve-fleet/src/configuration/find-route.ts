/**
 * Which route a request takes, and which of its services.
 */

import type {Route, RouteTarget} from './route.js';

/** Of a host's routes, the one with the longest prefix of the path. */
export const findRoute = (routes: readonly Route[], host: string, path: string): Route | undefined =>
	routes
		.filter(route => route.host === host && path.startsWith(route.pathPrefix))
		.reduce<Route | undefined>((best, route) => (best && best.pathPrefix.length >= route.pathPrefix.length ? best : route), undefined);

/** The service for a random number in [0, 1), in proportion to the weights. */
export const chooseTarget = (targets: readonly RouteTarget[], random: number): string | undefined => {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let left = random * total;
	return targets.find(target => {
		left -= target.weight;
		return left < 0;
	})?.service;
};
