/**
 * Control of a fleet.
 */

export * from './fleet-control.js';
export type * from './follow.js';
export type * from './demand-report.js';
export * from './engines/engine-port.js';
