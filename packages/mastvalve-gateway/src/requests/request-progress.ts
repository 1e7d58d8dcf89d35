/**
 * How far the serving of one request has come.
 */

import {StreamPosition} from './relay-body.js';
import type {CallerRequest} from './caller-request.js';

/** What became of the tries so far. */
export type RequestProgress = {
	tried: Set<string>;
	/** When limited endpoints that had no permit for it may be asked again, by endpoint; monotonic ms. */
	permitRetryAt: Map<string, number>;
	/** The turn that it waits for at a limited endpoint. */
	reservation: string | undefined;
	sentCount: number;
	unsentCount: number;
	/** Whether some endpoint may have run it. */
	mayHaveRun: boolean;
	streamPosition: StreamPosition | undefined;
};

/** Nothing was tried yet. */
export const createRequestProgress = ({route, caller}: CallerRequest): RequestProgress => {
	const position = route.isResumable ? new StreamPosition() : undefined;
	if (position && caller.resumeAfter !== undefined) {
		position.lastEventId = caller.resumeAfter;
	}

	return {
		tried: new Set(), permitRetryAt: new Map(), reservation: undefined, sentCount: 0, unsentCount: 0, mayHaveRun: false, streamPosition: position,
	};
};
