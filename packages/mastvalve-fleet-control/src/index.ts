/**
 * Control of a fleet.
 */

export * from './fleet-control.js';
export type * from './follow.js';
