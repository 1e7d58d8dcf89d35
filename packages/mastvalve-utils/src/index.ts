/**
 * Helpers shared by all packages: clocks, random numbers, canonical hashes, delays.
 */

export * from './assume-type.js';
export * from './bounded-map.js';
export * from './canonical.js';
export * from './clock.js';
export * from './collect-text.js';
export * from './collections.js';
export * from './deadline-signal.js';
export * from './drop-idle-connections.js';
export * from './errors.js';
export * from './exceeded-bound.js';
export * from './format-table.js';
export * from './guard-connections.js';
export * from './hybrid-clock.js';
export * from './informational-heads.js';
export * from './limit-answer-heads.js';
export * from './random.js';
export * from './suspension-detector.js';
export * from './wait.js';
export * from './watch-for-reset.js';
