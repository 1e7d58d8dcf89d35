/**
 * Canonical serialization and hashing of plain data, so that equal data has equal hashes in every process.
 */

import {createHash} from 'node:crypto';
import {configure} from 'safe-stable-stringify';

const stringify = configure({deterministic: true});

/** Serializes a value as JSON with sorted keys. */
export const formatCanonically = (value: unknown): string => stringify(value) ?? 'null';

/** Returns the SHA-256 digest of bytes or text, in hex. */
export const hashBytes = (bytes: string | Uint8Array): string => createHash('sha256').update(bytes).digest('hex');

/** Returns the SHA-256 digest of the canonical JSON, in hex. */
export const hashCanonically = (value: unknown): string => hashBytes(formatCanonically(value));

/** Returns a uniformly distributed 32-bit hash of text, for hash rings and sharding. Not suitable for security. */
export const hashToUint32 = (text: string): number => createHash('sha1').update(text).digest().readUInt32BE(0);
