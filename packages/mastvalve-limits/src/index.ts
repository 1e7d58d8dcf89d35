/**
 * Limits of endpoints as pure policy: no sockets, no files, no clocks.
 */

export * from './limit-word.js';
