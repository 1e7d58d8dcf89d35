/**
 * Parts of a fleet for tests and benches: configurations of a size, and control of one instance.
 */

export * from './configure-engines.js';
export * from './single-control.js';
export * from './varied-routes.js';
