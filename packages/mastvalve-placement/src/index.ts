/**
 * Pure placement policy: plain data in, assignments out.
 */

export * from './event-schedule.js';
export type * from './placement-input.js';
export * from './plan-placement.js';
export * from './wanted-replicas.js';
