/**
 * The configuration that is in force everywhere.
 */

import type {DeclaredEvent} from './declared-event.js';
import type {Endpoint} from './endpoint.js';
import type {Model} from './model.js';
import type {Placement} from './placement.js';
import type {Service} from './service.js';

/** The whole configuration; collections are keyed by name so that changes stay small. */
export type Configuration = {
	/** Identity of the replicated log that it comes from. */
	clusterId: string;
	/** Index in the replicated log; grows with every change and never goes back. */
	revision: number;
	/** Number of confirmed intents; operators compare and set on it. */
	version: number;
	services: Record<string, Service>;
	models: Record<string, Model>;
	events: Record<string, DeclaredEvent>;
	endpoints: Record<string, Endpoint>;
	placements: Record<string, Placement>;
};

/** The keyed collections of a configuration. */
export type CollectionName = 'services' | 'models' | 'events' | 'endpoints' | 'placements';
