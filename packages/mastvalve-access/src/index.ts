/**
 * Keys, workspaces and limits as pure policy: no sockets, no files, no clocks.
 */

export * from './key-freshness.js';
export * from './authorize-request.js';
export * from './key-digest.js';
export * from './grant-history.js';
export * from './limit-ledger.js';
export * from './limit-window.js';
export type * from './limit-tolerance.js';
export * from './disconnected-limits.js';
export * from './presented-key.js';
export * from './confirmed-time.js';
export * from './rank-priorities.js';
export * from './request-cost.js';
export * from './workspace.js';
export * from './workspace-table.js';
