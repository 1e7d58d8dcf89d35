/**
 * Bounds the heads that a server sends in the place of an answer.
 */

import type {ClientRequest} from 'node:http';
import {ExceededBoundError} from './exceeded-bound.js';

/** Bytes of one head or of the trailers of one answer, to be given to Node's HTTP client: its default, whatever the process was started with. */
export const maxAnswerHeadBytes = 16_384;
/** Informational heads (1xx) before an answer. Nothing of ours asks for any; servers send one or two. */
const maxInformationalHeads = 16;

/** Destroys a request whose server sends informational heads without end. */
export const limitInformationalHeads = (req: ClientRequest): void => {
	let count = 0;
	req.on('information', () => {
		count += 1;
		if (count > maxInformationalHeads) {
			req.destroy(new ExceededBoundError(`there are more than ${maxInformationalHeads} informational heads`));
		}
	});
};
