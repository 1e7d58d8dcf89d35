/**
 * Bounds the heads that a server sends in the place of an answer.
 */

import type {ClientRequest} from 'node:http';
import {ExceededBoundError} from './exceeded-bound.js';
import {InformationalHeads} from './informational-heads.js';

/** Bytes of one head or of the trailers of one answer, to be given to Node's HTTP client: its default, whatever the process was started with. */
export const maxAnswerHeadBytes = 16_384;

/** Destroys a request whose server sends informational heads without end. */
export const limitInformationalHeads = (req: ClientRequest): void => {
	const heads = new InformationalHeads(() => performance.now());
	req.on('information', ({rawHeaders}) => {
		const exceeded = heads.add(rawHeaders);
		if (exceeded !== undefined) {
			req.destroy(new ExceededBoundError(exceeded));
		}
	});
};
