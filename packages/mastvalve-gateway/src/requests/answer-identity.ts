/**
 * Tells which request an answer belongs to. An endpoint may send an answer twice, and the second copy arrives in the place of the answer to
 * the next request on the connection.
 */

import type {AnswerHeaders} from '../dialect.js';

export enum AnswerIdentity {
	/** It names the request that it was received for. */
	Matching = 'matching',
	/** It names another request. */
	Other = 'other',
	/** It names no request. */
	Unnamed = 'unnamed',
}

/** Compares the id that an answer echoes with the id of the request that it was received for. */
export const identifyAnswer = (requestId: string, {requestId: echoedId}: AnswerHeaders): AnswerIdentity => {
	if (echoedId === undefined) {
		return AnswerIdentity.Unnamed;
	}

	return echoedId === requestId ? AnswerIdentity.Matching : AnswerIdentity.Other;
};
