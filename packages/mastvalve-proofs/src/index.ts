/**
 * The frame of mastvalve's proofs; the proofs themselves stand in `__tests__`.
 */

export * from './check-property.js';
export * from './proof.js';
export * from './run-proofs.js';
export * from './summarise-seeds.js';
