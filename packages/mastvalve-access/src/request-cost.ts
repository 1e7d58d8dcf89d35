/**
 * Cost of a request towards the limit of its workspace.
 */

import {LimitUnit, type WorkspaceLimit} from './workspace.js';

/** Tokens that a request declares before it runs; undefined if it declares none. */
export type DeclaredTokens = {prompt: number; output: number} | undefined;

/** Returns the cost in the unit of the limit. */
export const computeRequestCost = ({unit, plainTokens}: WorkspaceLimit, declared: DeclaredTokens): number => {
	if (unit === LimitUnit.Requests) {
		return 1;
	}

	return declared ? declared.prompt + declared.output : plainTokens;
};
