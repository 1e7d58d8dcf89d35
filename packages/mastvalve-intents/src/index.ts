/**
 * Intents, the plans that they give, and their confirmation.
 */

export * from './confirm-plan.js';
export * from './intent-to-configuration.js';
export * from './make-plan.js';
export * from './placement-of-configuration.js';
export * from './plan.js';
