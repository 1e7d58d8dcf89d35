/**
 * Stand-ins for what mastvalve meets outside: engines, plain services, the weight store and the platform's list.
 */

export * from './engine-batch.js';
export * from './engine-memory.js';
export * from './fake-engine.js';
export * from './fake-platform-list.js';
export * from './fake-server.js';
export * from './fake-service.js';
export * from './fake-weight-store.js';
export * from './faults.js';
export * from './prefix-cache.js';
export * from './slow-link.js';
export * from './tokens.js';
