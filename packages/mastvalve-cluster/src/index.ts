/**
 * A group of control instances that forms from a few seeds, and the calls between mastvalve's own processes.
 */

export * from './membership/control-directory.js';
export * from './membership/control-group.js';
export type * from './membership/control-group-options.js';
export * from './membership/formation.js';
export * from './membership/group-times.js';
export type * from './membership/identity.js';
export * from './peer/peer-client.js';
export * from './peer/peer-server.js';
