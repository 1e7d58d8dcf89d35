/**
 * Intents: the services, models and events that operators declare.
 */

import type {DeclaredEvent} from './declared-event.js';
import type {Model} from './model.js';
import type {Service} from './service.js';

/** A complete intent; confirming it replaces the previous one. */
export type Intent = {
	services: Service[];
	models: Model[];
	events: DeclaredEvent[];
};
