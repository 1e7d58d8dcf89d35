/**
 * The configuration that operators set: routes, services, caller limits and workspaces, under one version.
 */

import type {Workspace} from 'mastvalve-access';
import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {ServedService} from './served-service.js';

/** A complete configuration; only one with a higher version replaces it. */
export type ServingConfiguration = {
	version: number;
	routes: Route[];
	services: ServedService[];
	limits: CallerLimits;
	/** Undefined when keys are not required; with an empty list, only anonymous routes accept requests. */
	workspaces?: Workspace[];
};

/** A configuration with the operators' source text, which is returned when the configuration is read. */
export type StatedConfiguration = {configuration: ServingConfiguration; source: string};
