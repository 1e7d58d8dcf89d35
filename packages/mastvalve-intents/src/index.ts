/**
 * Plans from intents, and their confirmation.
 */

export * from './confirm-plan.js';
export * from './intent-to-configuration.js';
export * from './make-plan.js';
export * from './plan-configuration.js';
export * from './plan.js';
