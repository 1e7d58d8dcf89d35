/**
 * A configuration as single changes, so that only what differs travels, and in parts.
 */

import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {ServedService} from './served-service.js';

/** Kinds of changes. */
export enum ConfigurationChangeKind {
	/** A route is new or another one than before. */
	Route = 'route',
	/** A route is there no more. */
	Removal = 'removal',
	/** Services or bounds are others than before. */
	Frame = 'frame',
	/** All changes of this version have gone before: what was gathered is in force from now on. */
	Version = 'version',
}

/** What a configuration holds besides its routes. */
export type ConfigurationFrame = {services: ServedService[]; limits: CallerLimits};

/** Any change. */
export type ConfigurationChange
	= | {kind: ConfigurationChangeKind.Route; route: Route}
		| {kind: ConfigurationChangeKind.Removal; key: string}
		| {kind: ConfigurationChangeKind.Frame; frame: ConfigurationFrame}
		| {kind: ConfigurationChangeKind.Version; version: number};
