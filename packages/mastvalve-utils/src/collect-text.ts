/**
 * Buffers a streamed body in memory.
 */

import {Buffer} from 'node:buffer';
import {assumeType} from './assume-type.js';
import {ExceededBoundError} from './exceeded-bound.js';

/** Concatenates all chunks. Throws an `ExceededBoundError` and destroys the source when the body exceeds `maxBytes`. */
export const collectBytes = async (chunks: AsyncIterable<unknown>, maxBytes: number): Promise<Uint8Array> => {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of chunks) {
		const bytes = assumeType<Uint8Array>(chunk);
		parts.push(bytes);
		size += bytes.length;
		if (size > maxBytes) {
			throw new ExceededBoundError(`the body is larger than ${maxBytes} bytes`);
		}
	}

	return Buffer.concat(parts);
};

/** Concatenates all chunks and decodes them as UTF-8. Throws an `ExceededBoundError` and destroys the source when the body exceeds `maxBytes`. */
export const collectText = async (chunks: AsyncIterable<unknown>, maxBytes: number): Promise<string> => {
	const bytes = await collectBytes(chunks, maxBytes);
	return Buffer.from(bytes).toString();
};
