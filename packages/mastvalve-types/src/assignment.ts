/**
 * Assignments of models to endpoints.
 */

import type {AssignmentMode} from './assignment-mode.js';

/** Assigns one model to an endpoint, with the mode in which the endpoint holds it. */
export type Assignment = {
	model: string;
	mode: AssignmentMode;
};
