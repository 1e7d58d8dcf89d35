/**
 * Progress of one request across its attempts.
 */

import {StreamPosition} from '../streams/stream-position.js';
import type {CallerRequest} from './caller-request.js';

export type RequestProgress = {
	/** Ids of the endpoints that it was sent to. */
	tried: Set<string>;
	/** When a permit may be claimed again at a limited endpoint that had none, by endpoint id; monotonic ms. */
	permitRetryAt: Map<string, number>;
	/** Reservation of a permit at a limited endpoint. */
	reservation: string | undefined;
	/** Attempts that may have reached an endpoint. */
	sentCount: number;
	/** Attempts that did not reach their endpoint. */
	unsentCount: number;
	/** Whether an attempt was in progress when the request ended, or is now. */
	isSending: boolean;
	/** Whether any endpoint may have run the request. */
	mayHaveRun: boolean;
	streamPosition: StreamPosition | undefined;
	/** Release of the endpoint that sent the first event of a resumable stream; what two releases send doesn't fit together. */
	release: string | undefined;
	/** Whether its caller has been told as a slow reader. */
	hasToldSlowReader: boolean;
};

export const createRequestProgress = ({route, caller}: CallerRequest): RequestProgress => {
	const streamPosition = route.isResumable ? new StreamPosition() : undefined;
	if (streamPosition && caller.resumeAfter !== undefined) {
		streamPosition.lastEventId = caller.resumeAfter;
	}

	return {
		tried: new Set(), permitRetryAt: new Map(), reservation: undefined, sentCount: 0, unsentCount: 0, isSending: false, mayHaveRun: false, streamPosition, release: undefined, hasToldSlowReader: false,
	};
};
