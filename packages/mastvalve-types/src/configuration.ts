/**
 * The configuration that control replicates to all instances.
 */

import type {DeclaredEvent} from './declared-event.js';
import type {Endpoint} from './endpoint.js';
import type {Model} from './model.js';
import type {Placement} from './placement.js';
import type {Service} from './service.js';

/** A full configuration; collections are keyed by name to keep deltas small. */
export type Configuration = {
	/** ID of the cluster whose replicated log produced it. */
	clusterId: string;
	/** Index in the replicated log; increases with every change and never decreases. */
	revision: number;
	/** Number of confirmed intents; operators use it for compare-and-set. */
	version: number;
	services: Record<string, Service>;
	models: Record<string, Model>;
	events: Record<string, DeclaredEvent>;
	endpoints: Record<string, Endpoint>;
	placements: Record<string, Placement>;
};

/** The keyed collections of a configuration. */
export type CollectionName = 'services' | 'models' | 'events' | 'endpoints' | 'placements';
