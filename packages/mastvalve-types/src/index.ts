/**
 * Shared shapes, enums and error classes of mastvalve.
 */

export * from './assignment-mode.js';
export * from './assignment.js';
export * from './claim-status.js';
export * from './claim.js';
export * from './configuration-change.js';
export * from './configuration.js';
export * from './coordination-errors.js';
export * from './declared-event.js';
export * from './endpoint-report.js';
export * from './endpoint-state.js';
export * from './endpoint.js';
export * from './fencing-token.js';
export * from './finding.js';
export * from './instance-identity.js';
export * from './intent.js';
export * from './log-level.js';
export * from './mastvalve-error.js';
export * from './model.js';
export * from './order.js';
export * from './outcome.js';
export * from './placement.js';
export * from './priority.js';
export * from './problem.js';
export * from './request-errors.js';
export * from './service-kind.js';
export * from './service.js';
export * from './timeline-event.js';
