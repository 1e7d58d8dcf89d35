/**
 * Limits of endpoints as pure policy: no sockets, no files, no clocks.
 */

export * from './admission.js';
export * from './endpoint-backoff.js';
export * from './endpoint-limits.js';
export type * from './handover-claim.js';
export * from './limit-word.js';
export * from './local-rates.js';
export * from './rate-bucket.js';
export * from './reservation-queue.js';
export * from './retry-after.js';

