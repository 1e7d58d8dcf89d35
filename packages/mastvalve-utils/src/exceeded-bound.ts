/**
 * Errors of peers that send more than is read of them.
 */

import {assumeType} from './assume-type.js';

/** Thrown when more arrives than a bound allows; the message names the bound with its unit. */
export class ExceededBoundError extends Error {
	constructor(message: string) {
		super(message);
		this.name = 'ExceededBoundError';
	}
}

/** Codes of Node's parser for heads, trailers and chunk extensions beyond its bounds. */
const parserCodes = new Set(['HPE_HEADER_OVERFLOW', 'HPE_CHUNK_EXTENSIONS_OVERFLOW']);

/** Whether an error tells that a bound was exceeded. */
export const isExceededBound = (error: unknown): boolean =>
	error instanceof ExceededBoundError || (error instanceof Error && parserCodes.has(assumeType<NodeJS.ErrnoException>(error).code ?? ''));
