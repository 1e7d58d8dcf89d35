/**
 * The difference between two revisions of the configuration.
 */

import type {CollectionName, Configuration} from './configuration.js';

/** What changed in one keyed collection. */
export type CollectionChange<T> = {
	put: Record<string, T>;
	removed: string[];
};

/** One step from an older to a newer revision. */
export type ConfigurationChange = {
	/** The revision that it starts from. */
	base: number;
	/** The revision to which it leads. */
	revision: number;
	version: number;
	collections: {[Name in CollectionName]?: CollectionChange<Configuration[Name][string]>};
};

/** What an upstream answers to "what came after revision N". */
export type ConfigurationUpdate = {
	clusterId: string;
	/** The steps, oldest first. */
	changes: ConfigurationChange[];
	/** The whole configuration instead, when the steps are no longer kept. */
	snapshot?: Configuration;
};
