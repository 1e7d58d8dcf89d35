/**
 * Fingerprints of parts of prompts, as distinct from those of whole requests.
 */

const prefix = 'part-';

/** Formats the fingerprint of a part from the hash of its id. */
export const formatPartFingerprint = (hash: string): string => `${prefix}${hash}`;

export const isPartFingerprint = (fingerprint: string): boolean => fingerprint.startsWith(prefix);
