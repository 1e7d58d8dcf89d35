/**
 * Digests of keys. Keys are secrets: they are digested where they are read and represented by their digests from then on.
 */

import {createHash} from 'node:crypto';

/** Characters of a digest that are kept: 132 bits. Guessing a key in use would take 2^131 attempts on average. */
const digestLength = 22;

/** Returns the digest of a key, which is the same in all processes. */
export const digestKey = (key: string): string => createHash('sha256').update(key).digest('base64url').slice(0, digestLength);
