/**
 * Canonical text and hashes of plain data, so that equal data has equal hashes in every process.
 */

import {createHash} from 'node:crypto';
import {configure} from 'safe-stable-stringify';

const stringify = configure({deterministic: true});

/** JSON with sorted keys. */
export const formatCanonically = (value: unknown): string => stringify(value) ?? 'null';

/** SHA-256 of bytes or text, in hex. */
export const hashBytes = (bytes: string | Uint8Array): string => createHash('sha256').update(bytes).digest('hex');

/** SHA-256 of the canonical JSON, in hex. */
export const hashCanonically = (value: unknown): string => hashBytes(formatCanonically(value));

/** A 32-bit hash of text, spread evenly; for rings and sharding, not for security. */
export const hashToUint32 = (text: string): number => createHash('sha1').update(text).digest().readUInt32BE(0);
