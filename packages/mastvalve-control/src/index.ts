/**
 * The control program, its state and its client.
 */

export * from './client/control-client.js';
export type * from './server/control-status.js';
export * from './server/demand-estimate.js';
export * from './server/endpoint-watch.js';
export * from './server/form-cluster.js';
export * from './server/operator-router.js';
export * from './server/start-control.js';
export type {ControlRouter} from './server/control-router.js';
export * from './state/commands.js';
export * from './state/control-machine.js';
export * from './state/endpoint-changes.js';
