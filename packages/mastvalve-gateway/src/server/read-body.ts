/**
 * Reads a request body into memory, up to a size limit.
 */

import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Returns the body; `too-large` when it exceeds `maxBytes`, `broken` when the caller disconnected before its end. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Uint8Array | 'too-large' | 'broken'> =>
	new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
			resolve('too-large');
			return;
		}

		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				resolve('too-large');
				req.pause();
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			resolve(Buffer.concat(chunks));
		});
		req.once('close', () => {
			resolve('broken');
		});
	});
