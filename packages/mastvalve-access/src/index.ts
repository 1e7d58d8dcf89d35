/**
 * Keys, workspaces and their limits as pure policy: no sockets, files or clocks.
 */

export * from './authorize-request.js';
export * from './confirmed-time.js';
export * from './disconnected-limits.js';
export * from './entry-calls.js';
export * from './excess-share.js';
export * from './excess-shares.js';
export * from './grant-ceiling.js';
export * from './grant-history.js';
export * from './grant-times.js';
export * from './key-digest.js';
export * from './key-freshness.js';
export * from './limit-ledger.js';
export type * from './limit-tolerance.js';
export * from './limit-window.js';
export * from './presented-key.js';
export type * from './prior-grant.js';
export * from './rank-priorities.js';
export * from './request-cost.js';
export * from './silent-grants.js';
export * from './workspace-table.js';
export * from './workspace.js';
