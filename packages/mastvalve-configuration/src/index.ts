/**
 * The versioned configuration: its changes, how they are taken over, and who waits for them.
 */

export * from './adoption.js';
export * from './changes.js';
export * from './configuration-store.js';
export * from './empty-configuration.js';
export * from './lookups.js';
