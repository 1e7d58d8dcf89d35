/**
 * What operators set: routes, services, callers' limits and workspaces, under one version.
 */

import type {Workspace} from 'mastvalve-access';
import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {ServedService} from './served-service.js';

/** A whole configuration; a higher version replaces it. */
export type ServingConfiguration = {
	version: number;
	routes: Route[];
	services: ServedService[];
	limits: CallerLimits;
	/** Undefined where no keys are asked for; an empty list lets nobody in but on anonymous routes. */
	workspaces?: Workspace[];
};

/** A configuration with the operators' own text of it, which is handed back on reading. */
export type StatedConfiguration = {configuration: ServingConfiguration; source: string};
