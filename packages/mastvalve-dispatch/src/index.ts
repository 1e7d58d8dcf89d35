/**
 * Central choice of engines as pure policy: no sockets, files or clocks.
 */

export * from './dispatch-claim.js';
export * from './dispatch-decision.js';
export * from './dispatcher.js';
export type * from './engine-candidate.js';
export type {ListHolders, ModelClaim} from './engine-states.js';
export * from './run-report.js';
export type * from './work-meter.js';
