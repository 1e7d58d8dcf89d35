/**
 * The sidecar program and its parts: the ledger of accelerator memory, the choice of orders, the gate of an endpoint.
 */

export * from './engine/choose-order.js';
export * from './engine/engine-client.js';
export type * from './engine/engine-status.js';
export * from './engine/memory-ledger.js';
export * from './server/claim-guard.js';
export * from './server/endpoint-gate.js';
export * from './server/start-sidecar.js';
