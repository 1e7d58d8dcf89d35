/**
 * Control of a fleet: replicated state, limits, and the scheduling of models onto engines.
 */

export * from './control-node.js';
export * from './crash-verdicts.js';
export type * from './control-service.js';
export * from './fleet-control.js';
export * from './forwarded-control.js';
export type * from './follow.js';
export * from './dispatch-service.js';
export * from './entry-count.js';
export * from './grant-recorder.js';
export * from './limit-publisher.js';
export * from './limit-service.js';
export * from './stream-origin-service.js';
export * from './freshness-tracker.js';
export type * from './demand-report.js';
export * from './engines/engine-scheduler.js';
export * from './engines/engine-port.js';
