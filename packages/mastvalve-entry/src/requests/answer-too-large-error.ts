/**
 * Thrown when an endpoint sends more than is read of one answer. The request has reached it, so it may have run.
 */

import {MastvalveError, Outcome} from 'mastvalve-types';

export class AnswerTooLargeError extends MastvalveError {
	/** `part` is what exceeds the bound, as in "The body". */
	constructor(part: string, endpointId: string, maxBytes: number) {
		super('answer-too-large', `${part} of the answer of ${endpointId} is larger than ${maxBytes} bytes. The request may have run.`, {status: 502, outcome: Outcome.Unknown});
		this.name = 'AnswerTooLargeError';
	}
}
