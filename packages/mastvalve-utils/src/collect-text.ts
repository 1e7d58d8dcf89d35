/**
 * Reading a body whole.
 */

import {Buffer} from 'node:buffer';
import {assumeType} from './assume-type.js';

/** The bytes of all chunks; throws when there are more than `maxBytes`. */
export const collectBytes = async (chunks: AsyncIterable<unknown>, maxBytes = Number.POSITIVE_INFINITY): Promise<Uint8Array> => {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of chunks) {
		const bytes = assumeType<Uint8Array>(chunk);
		parts.push(bytes);
		size += bytes.length;
		if (size > maxBytes) {
			throw new Error(`the body is larger than ${maxBytes} bytes`);
		}
	}

	return Buffer.concat(parts);
};

/** The text of all chunks; throws when there are more bytes than `maxBytes`. */
export const collectText = async (chunks: AsyncIterable<unknown>, maxBytes = Number.POSITIVE_INFINITY): Promise<string> => {
	const bytes = await collectBytes(chunks, maxBytes);
	return Buffer.from(bytes).toString();
};
