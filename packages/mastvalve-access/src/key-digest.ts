/**
 * Keys are secrets. They are digested where they are read, and known by their digests from there on.
 */

import {createHash} from 'node:crypto';

/** Characters of a digest that are kept: 132 bits. A stranger would have to try 2^131 keys to meet one that is in use. */
const digestLength = 22;

/** The digest of a key, the same in all processes. */
export const digestKey = (key: string): string => createHash('sha256').update(key).digest('base64url').slice(0, digestLength);
