/**
 * Rate limits and backoff of endpoints as pure policy: no sockets, files or clocks.
 */

export * from './admission.js';
export * from './disconnected-rates.js';
export * from './endpoint-backoff.js';
export * from './endpoint-limits.js';
export * from './limit-header.js';
export type * from './permit-claim.js';
export * from './reservation-queue.js';
export * from './retry-after.js';
export * from './token-bucket.js';

