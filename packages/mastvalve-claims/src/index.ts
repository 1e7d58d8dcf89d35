/**
 * At-most-once claims: deterministic state to be driven by a replicated log.
 */

export * from './claim-decision.js';
export type * from './claim-request.js';
export * from './claim-table.js';
