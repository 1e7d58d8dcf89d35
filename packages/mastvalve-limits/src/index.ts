/**
 * Limits of endpoints as pure policy: no sockets, no files, no clocks.
 */

export * from './admission.js';
export * from './endpoint-backoff.js';
export * from './endpoint-limits.js';
export type * from './permit-claim.js';
export * from './limit-header.js';
export * from './disconnected-rates.js';
export * from './token-bucket.js';
export * from './reservation-queue.js';
export * from './retry-after.js';

