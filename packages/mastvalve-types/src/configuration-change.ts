/**
 * Deltas between revisions of the configuration.
 */

import type {CollectionName, Configuration} from './configuration.js';

/** The delta of one keyed collection. */
export type CollectionChange<T> = {
	put: Record<string, T>;
	removed: string[];
};

/** The delta from one revision to a later one. */
export type ConfigurationChange = {
	/** Revision to which the delta applies. */
	base: number;
	/** Revision after the delta is applied. */
	revision: number;
	version: number;
	collections: {[Name in CollectionName]?: CollectionChange<Configuration[Name][string]>};
};

/** Response of an upstream to a request for the changes after a given revision. */
export type ConfigurationUpdate = {
	clusterId: string;
	/** Deltas in revision order, oldest first. */
	changes: ConfigurationChange[];
	/** The full configuration, sent instead when the deltas are no longer retained. */
	snapshot?: Configuration;
};
