/**
 * Routes whose names differ as those of real ones do, so that packing them saves what it would save there.
 */

import {RouteKind, type Route, type StatedConfiguration} from 'mastvalve-fleet';
import {createRandom} from 'mastvalve-utils';

/** Time limits of a route, and of one that was changed, ms. */
const timeoutMs = 15_000;
const changedTimeoutMs = 1000;
const nameRange = 0xFF_FF_FF_FF;

/** So many routes to the service `s`, the same for the same numbers; the first `changed` of them have another time limit. */
export const createRoutes = (count: number, changed = 0): Route[] => {
	const random = createRandom(1);
	return Array.from({length: count}, (_, index) => {
		const name = Math.floor(random() * nameRange).toString(36);
		return {
			name: `r-${name}`,
			host: 'library.example',
			pathPrefix: `/${name}${index}/`,
			kind: RouteKind.Safe,
			timeoutMs: index < changed ? changedTimeoutMs : timeoutMs,
			objectiveMs: 800,
			patienceMs: undefined,
			priority: 1,
			targets: [{service: 's', weight: 1}],
			maxAttempts: 2,
			isResumable: false,
			isAnonymous: false,
		};
	});
};

/** A configuration of these routes and the plain service `s`; `source` stands for what an operator has sent. */
export const createStated = (version: number, routes: Route[], source = '{}'): StatedConfiguration => ({
	configuration: {
		version,
		routes,
		services: [{name: 's', healthPath: '/', maxConnections: 10}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	},
	source,
});
