/**
 * Differences between configurations. Collections are compared by identity first, so that the cost depends on the size of the change and
 * not on the size of the configuration.
 */

import type {
	CollectionChange, CollectionName, Configuration, ConfigurationChange,
} from 'mastvalve-types';
import {formatCanonically} from 'mastvalve-utils';

export const collectionNames: readonly CollectionName[] = ['services', 'models', 'events', 'endpoints', 'placements'];

const isSame = (a: unknown, b: unknown): boolean => a === b || formatCanonically(a) === formatCanonically(b);

const diffCollection = <T>(before: Record<string, T>, after: Record<string, T>): CollectionChange<T> | undefined => {
	if (before === after) {
		return undefined;
	}

	const put = Object.fromEntries(Object.entries(after).filter(([key, value]) => !isSame(before[key], value)));
	const removed = Object.keys(before).filter(key => !(key in after));
	return Object.keys(put).length > 0 || removed.length > 0 ? {put, removed} : undefined;
};

/** Returns the change from one configuration to the next. */
export const diffConfigurations = (before: Configuration, after: Configuration): ConfigurationChange => ({
	base: before.revision,
	revision: after.revision,
	version: after.version,
	collections: Object.fromEntries(collectionNames
		.map(name => [name, diffCollection<unknown>(before[name], after[name])] as const)
		.filter(([, change]) => change !== undefined)),
});

/** Whether a change affects nothing besides the revision. */
export const isEmptyChange = (change: ConfigurationChange): boolean => Object.keys(change.collections).length === 0;

const applyToCollection = <T>(collection: Record<string, T>, change: CollectionChange<T> | undefined): Record<string, T> => {
	if (!change) {
		return collection;
	}

	const removed = new Set(change.removed);
	const kept = removed.size === 0 ? collection : Object.fromEntries(Object.entries(collection).filter(([key]) => !removed.has(key)));
	return {...kept, ...change.put};
};

/** Returns the configuration after a change, without modifying the input. */
export const applyChange = (configuration: Configuration, change: ConfigurationChange): Configuration => ({
	clusterId: configuration.clusterId,
	revision: change.revision,
	version: change.version,
	services: applyToCollection(configuration.services, change.collections.services),
	models: applyToCollection(configuration.models, change.collections.models),
	events: applyToCollection(configuration.events, change.collections.events),
	endpoints: applyToCollection(configuration.endpoints, change.collections.endpoints),
	placements: applyToCollection(configuration.placements, change.collections.placements),
});
