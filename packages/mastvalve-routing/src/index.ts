/**
 * Pure routing policy: endpoint selection, admission control, retry budgets and prefix affinity.
 */

export * from './admission-queue.js';
export * from './backoff.js';
export type * from './candidate.js';
export * from './choose-candidate.js';
export * from './prefix-index.js';
export * from './retry-budget.js';
