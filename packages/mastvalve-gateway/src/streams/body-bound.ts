/**
 * Bounds the bodies whose end nothing announces, and tells which of them count as bodies without end.
 */

import type {IncomingMessage} from 'node:http';
import {BodyFraming} from './answer-end.js';

/** Most bytes of a body without a length, and of one that is relayed as fast as its caller reads: sixteen times what a caller's body may have by default. */
const maxUnannouncedBytes = 67_108_864;
/** Most bytes of a generated token with its event; engines write some 100, and several times that with the likelihoods of other tokens. */
const maxTokenBytes = 4096;
/** Bytes that a generated answer may have beside its tokens. */
const maxOverheadBytes = 1_048_576;
/** Cost beyond its allowance from which such a body counts as one without end, in bytes: as much as the allowance. */
const suspiciousBytes = 1_048_576;

/** Returns the most bytes that a body may have; `maxOutputTokens` is 0 where the caller names no most. */
export const findMaxBytes = (framing: BodyFraming, maxOutputTokens: number): number => {
	if (framing === BodyFraming.Length) {
		return Number.POSITIVE_INFINITY;
	}

	return maxOutputTokens > 0 ? Math.min(maxUnannouncedBytes, maxOverheadBytes + (maxOutputTokens * maxTokenBytes)) : maxUnannouncedBytes;
};

/** Whether nothing bounds a body: it has no length, or one that is as good as none. */
export const isUnbounded = (framing: BodyFraming, {headers}: IncomingMessage): boolean =>
	framing !== BodyFraming.Length || Number(headers['content-length']) > maxUnannouncedBytes;

/** Whether a body that has been broken off by its caller's time or leaving looks like one without end; `sharedBytes` is its cost beyond its allowance. */
export const isSuspicious = (sharedBytes: number): boolean => sharedBytes > suspiciousBytes;
