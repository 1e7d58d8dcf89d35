/**
 * Fingerprints of the parts of a prompt that other requests may share. A caller chooses the ids, so they are hashed: fingerprints have a
 * bounded length and can be logged.
 */

import {createHash} from 'node:crypto';
import {formatPartFingerprint} from 'mastvalve-fleet';
import type {PromptPart} from '../dialect.js';

/** Parts of one prompt that are considered; prompts have a few, and a header could list a thousand. */
const maxParts = 32;
/** Hexadecimal digits of a fingerprint: 64 bits. */
const fingerprintDigits = 16;

const fingerprintPart = (id: string): string =>
	formatPartFingerprint(createHash('sha256').update(id).digest('hex').slice(0, fingerprintDigits));

/** Returns the fingerprints of all parts but the last one, which belongs to the request itself or to its session. */
export const fingerprintSharedParts = (parts: readonly PromptPart[]): string[] =>
	[...new Set(parts.slice(0, -1).slice(0, maxParts).map(({id}) => fingerprintPart(id)))];
