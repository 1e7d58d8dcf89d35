/**
 * The entry program.
 */

export * from './requests/issue-time.js';
export * from './requests/stream-answer.js';
export * from './requests/try-endpoints.js';
export type * from './requests/entry-request.js';
export * from './routing/endpoint-table.js';
export * from './server/start-entry.js';
export {isNotRepeated} from './server/service-routes.js';
