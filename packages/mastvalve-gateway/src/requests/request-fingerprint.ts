/**
 * Fingerprint of the content of a request: method, host, path, model, adapter and body. Repetitions share it across request ids and
 * entries; parts that a caller sets anew each time (request id, remaining time) are excluded.
 */

import {createHash} from 'node:crypto';
import type {CallerHeaders} from '../dialect.js';

/** The parts of a request that the fingerprint covers. */
export type RequestContent = {
	method: string;
	host: string;
	/** Path and query. */
	path: string;
	caller: Pick<CallerHeaders, 'model' | 'adapter'>;
	body: Uint8Array;
};

/** Hexadecimal digits of a fingerprint: 64 bits. The probability of a collision among a million different requests is 1 in 37 million. */
const fingerprintDigits = 16;

/** Computes the fingerprint, which is the same on all entries. */
export const fingerprintRequest = ({method, host, path, caller, body}: RequestContent): string =>
	createHash('sha256')
		.update(JSON.stringify([method, host.toLowerCase(), path, caller.model, caller.adapter]))
		.update(body)
		.digest('hex')
		.slice(0, fingerprintDigits);
