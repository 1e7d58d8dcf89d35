/**
 * A configuration as single changes, so that only what differs travels, and in parts.
 */

import type {Workspace} from 'mastvalve-access';
import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {ServedService} from './served-service.js';

/** Kinds of changes. */
export enum ConfigurationChangeKind {
	/** A route is new or another one than before. */
	Route = 'route',
	/** A workspace is new or another one than before. */
	Workspace = 'workspace',
	/** A route or a workspace is there no more. */
	Removal = 'removal',
	/** Services or bounds are others than before, or keys are asked for where they were not. */
	Frame = 'frame',
	/** All changes of this version have gone before: what was gathered is in force from now on. */
	Version = 'version',
}

/** What a configuration holds besides its routes and workspaces. */
export type ConfigurationFrame = {services: ServedService[]; limits: CallerLimits; needsKeys: boolean};

/** Any change. */
export type ConfigurationChange
	= | {kind: ConfigurationChangeKind.Route; route: Route}
		| {kind: ConfigurationChangeKind.Workspace; workspace: Workspace}
		| {kind: ConfigurationChangeKind.Removal; key: string}
		| {kind: ConfigurationChangeKind.Frame; frame: ConfigurationFrame}
		| {kind: ConfigurationChangeKind.Version; version: number};
