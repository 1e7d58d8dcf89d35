/**
 * What operators state: which services, models and events there shall be.
 */

import type {DeclaredEvent} from './declared-event.js';
import type {Model} from './model.js';
import type {Service} from './service.js';

/** A whole intent; confirming one replaces the one before. */
export type Intent = {
	services: Service[];
	models: Model[];
	events: DeclaredEvent[];
};
