/**
 * The replicated state machine of routes, services and endpoints, and pure policies over its state.
 */

export type * from './configuration/caller-limits.js';
export * from './configuration/check-configuration.js';
export type * from './configuration/engine-model.js';
export * from './configuration/choose-target.js';
export * from './configuration/configuration-change.js';
export * from './configuration/route.js';
export * from './configuration/route-table.js';
export type * from './configuration/served-service.js';
export type * from './configuration/serving-configuration.js';
export * from './configuration/workspace-key.js';
export * from './quarantine/crash-history.js';
export type * from './quarantine/crash-report.js';
export * from './quarantine/part-fingerprint.js';
export type * from './quarantine/quarantine-change.js';
export * from './quarantine/suspect.js';
export * from './state/count-absent-models.js';
export * from './state/apply-report.js';
export * from './state/change-feed.js';
export * from './state/fleet-command.js';
export * from './state/endpoint-incarnation.js';
export * from './state/fleet-endpoint.js';
export * from './state/fleet-machine.js';
export * from './state/holds-model.js';
export type * from './state/fleet-update.js';
export * from './streams/proved-release.js';
export * from './streams/stream-origin.js';
export * from './streams/stream-origin-table.js';
export * from './engines/forecast-rates.js';
export * from './engines/demand-shift-detector.js';
export * from './engines/engine-ledger.js';
export * from './engines/engine-order.js';
export * from './engines/engine-memory.js';
export type * from './engines/engine-state.js';
export * from './engines/learned-demand.js';
export * from './engines/model-demand-estimate.js';
export * from './engines/model-work.js';
export * from './engines/plan-adapter-move.js';
export type * from './engines/model-move.js';
export type * from './engines/model-plan-input.js';
export * from './engines/plan-model-move.js';
export * from './engines/store-load-limiter.js';
export * from './engines/weight-source.js';
export type * from './engines/work-outlook.js';
export * from './engines/work-per-request.js';
