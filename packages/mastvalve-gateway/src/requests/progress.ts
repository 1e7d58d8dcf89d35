/**
 * How far the serving of one request has come.
 */

import {StreamPosition} from './relay.js';
import type {CallerRequest} from './caller-request.js';

/** What became of the tries so far. */
export type Progress = {
	tried: Set<string>;
	/** When limited endpoints that had no permit for it may be asked again, by endpoint; monotonic ms. */
	askAgainAt: Map<string, number>;
	/** The turn that it waits for at a limited endpoint. */
	reservation: string | undefined;
	sent: number;
	unsent: number;
	/** Whether some endpoint may have run it. */
	mayHaveRun: boolean;
	position: StreamPosition | undefined;
};

/** Nothing was tried yet. */
export const createProgress = ({route, caller}: CallerRequest): Progress => {
	const position = route.isResumable ? new StreamPosition() : undefined;
	if (position && caller.resumeAfter !== undefined) {
		position.lastEventId = caller.resumeAfter;
	}

	return {
		tried: new Set(), askAgainAt: new Map(), reservation: undefined, sent: 0, unsent: 0, mayHaveRun: false, position,
	};
};
