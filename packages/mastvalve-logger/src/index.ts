/**
 * Logs and the event timeline.
 */

export * from './logger.js';
export * from './timeline.js';
export * from './decision-logger.js';
export * from './request-ends.js';
