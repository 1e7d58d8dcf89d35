/**
 * Versioned configuration: changes, their adoption, and notification of followers.
 */

export * from './adoption.js';
export * from './changes.js';
export * from './configuration-store.js';
export * from './empty-configuration.js';
export * from './lookups.js';
