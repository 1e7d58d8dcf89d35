/**
 * Types, enums and error classes shared by all mastvalve packages.
 */

export * from './assignment-mode.js';
export type * from './assignment.js';
export * from './claim-status.js';
export type * from './claim.js';
export type * from './configuration-change.js';
export type * from './configuration.js';
export * from './coordination-errors.js';
export type * from './declared-event.js';
export type * from './endpoint-report.js';
export * from './endpoint-state.js';
export type * from './endpoint.js';
export type * from './fencing-token.js';
export type * from './finding.js';
export type * from './instance-identity.js';
export type * from './intent.js';
export * from './log-level.js';
export * from './mastvalve-error.js';
export type * from './model.js';
export * from './order.js';
export * from './outcome.js';
export type * from './placement.js';
export * from './priority.js';
export type * from './problem.js';
export * from './request-errors.js';
export * from './service-kind.js';
export type * from './service.js';
export type * from './timeline-event.js';
