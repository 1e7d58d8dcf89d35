/**
 * What operators set: routes, services and callers' limits, under one version.
 */

import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {ServedService} from './served-service.js';

/** A whole configuration; a higher version replaces it. */
export type ServingConfiguration = {
	version: number;
	routes: Route[];
	services: ServedService[];
	limits: CallerLimits;
};

/** A configuration with the operators' own text of it, which is handed back on reading. */
export type StatedConfiguration = {configuration: ServingConfiguration; source: string};
