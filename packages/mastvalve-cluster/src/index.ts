/**
 * Forms a group of control instances from a few seeds, and carries calls between the processes of mastvalve.
 */

export * from './membership/control-directory.js';
export * from './membership/control-group.js';
export type * from './membership/control-group-options.js';
export * from './membership/formation.js';
export * from './membership/founder-naming.js';
export * from './membership/group-times.js';
export type * from './membership/identity.js';
export * from './peer/peer-client.js';
export * from './peer/peer-server.js';
