/**
 * Logs and the time line of events.
 */

export * from './logger.js';
export * from './timeline.js';
export * from './decision-logger.js';
