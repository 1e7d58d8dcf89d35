/**
 * At-most-once claims as a deterministic state machine for a replicated log.
 */

export * from './claim-decision.js';
export type * from './claim-request.js';
export * from './claim-table.js';
