/**
 * Applies the declarations of an intent to a configuration.
 */

import type {Configuration, Intent} from 'mastvalve-types';
import {formatCanonically, keyBy} from 'mastvalve-utils';

/** Returns a collection after an intent; unchanged items keep their object identity, so that differences stay small. */
const mergeCollection = <T extends {name: string}>(before: Record<string, T>, items: T[]): Record<string, T> =>
	keyBy(
		items.map(item => {
			const known = before[item.name];
			return known && formatCanonically(known) === formatCanonically(item) ? known : item;
		}),
		item => item.name,
	);

/** Returns the configuration with the declarations of the intent in place of the previous ones. */
export const declareIntent = (configuration: Configuration, intent: Intent): Configuration => ({
	...configuration,
	services: mergeCollection(configuration.services, intent.services),
	models: mergeCollection(configuration.models, intent.models),
	events: mergeCollection(configuration.events, intent.events),
});
