/**
 * Changes of a configuration, so that followers receive only differences, in pages.
 */

import type {Workspace} from 'mastvalve-access';
import type {CallerLimits} from './caller-limits.js';
import type {Route} from './route.js';
import type {ServedService} from './served-service.js';

export enum ConfigurationChangeKind {
	/** A route was added or changed. */
	Route = 'route',
	/** A workspace was added or changed. */
	Workspace = 'workspace',
	/** A route or a workspace was removed. */
	Removal = 'removal',
	/** Services, limits or the need for keys changed. */
	Frame = 'frame',
	/** All changes of this version precede this one; the follower activates them now. */
	Version = 'version',
}

/** The parts of a configuration other than its routes and workspaces. */
export type ConfigurationFrame = {services: ServedService[]; limits: CallerLimits; needsKeys: boolean};

export type ConfigurationChange
	= | {kind: ConfigurationChangeKind.Route; route: Route}
		| {kind: ConfigurationChangeKind.Workspace; workspace: Workspace}
		| {kind: ConfigurationChangeKind.Removal; key: string}
		| {kind: ConfigurationChangeKind.Frame; frame: ConfigurationFrame}
		| {kind: ConfigurationChangeKind.Version; version: number};
