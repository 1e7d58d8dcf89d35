/**
 * What every program shares over HTTP: the application, the server, headers, problem details, and calls between our
 * own processes.
 */

export * from './app.js';
export * from './headers.js';
export * from './limit-bytes.js';
export * from './metrics.js';
export * from './problem-response.js';
export * from './program-context.js';
export * from './read-body.js';
export * from './report-faults.js';
export * from './server.js';
export * from './unsent.js';
export * from './rpc/input.js';
export * from './rpc/trpc.js';
export * from './rpc/upstream-client.js';
export * from './rpc/upstream-router.js';
export * from './rpc/wire-result.js';
