/**
 * A bound for what another process sends in one body.
 */

import {assumeType} from 'mastvalve-utils';

/** Passes chunks on; throws what `createError` makes once they have more than `maxBytes` together. */
export async function * limitBytes(chunks: AsyncIterable<unknown>, maxBytes: number, createError: () => Error): AsyncGenerator<Uint8Array> {
	let size = 0;
	for await (const chunk of chunks) {
		const bytes = assumeType<Uint8Array>(chunk);
		size += bytes.length;
		if (size > maxBytes) {
			throw createError();
		}

		yield bytes;
	}
}
