/**
 * What a request counts towards its workspace's limit.
 */

import {LimitUnit, type WorkspaceLimit} from './workspace.js';

/** What a request declares before anything of it is run; undefined where it declares nothing. */
export type DeclaredTokens = {prompt: number; output: number} | undefined;

/** The cost, in the limit's unit. */
export const computeRequestCost = ({unit, plainTokens}: WorkspaceLimit, declared: DeclaredTokens): number => {
	if (unit === LimitUnit.Requests) {
		return 1;
	}

	return declared ? declared.prompt + declared.output : plainTokens;
};
