/**
 * One model on one endpoint.
 */

import type {AssignmentMode} from './assignment-mode.js';

/** What the configuration asks of an endpoint for one model. */
export type Assignment = {
	model: string;
	mode: AssignmentMode;
};
