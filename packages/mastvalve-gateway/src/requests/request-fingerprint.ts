/**
 * What tells that a request is the repetition of another one, although its identity is new and it comes through another
 * entry: the same method, host, path, model and body. Parts that a caller sets anew each time (identity, time left) don't count.
 */

import {createHash} from 'node:crypto';
import type {CallerHeaders} from '../dialect.js';

/** The parts of a request that its repetitions share. */
export type RequestContent = {
	method: string;
	host: string;
	/** Path and query. */
	path: string;
	caller: Pick<CallerHeaders, 'model' | 'adapter'>;
	body: Uint8Array;
};

/** Hexadecimal digits that are kept: 64 bits. Two of a million different requests are alike with a chance of 1 in 37 million. */
const fingerprintDigits = 16;

/** The fingerprint, the same at all entries. */
export const fingerprintRequest = ({method, host, path, caller, body}: RequestContent): string =>
	createHash('sha256')
		.update(JSON.stringify([method, host.toLowerCase(), path, caller.model, caller.adapter]))
		.update(body)
		.digest('hex')
		.slice(0, fingerprintDigits);
