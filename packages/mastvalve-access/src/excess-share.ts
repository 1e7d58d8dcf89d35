/**
 * What an entry may grant beyond its recent grants while no leader answers: a share of a workspace's pool, the same for all workspaces
 * that use less than half of their window.
 */

import type {WorkspaceLimit} from './workspace.js';

/** Share that the leader of a term has issued, in parts of `wholeShare`; each answer replaces the share before. */
export type ExcessShare = {term: number; number: number; parts: number};

/** The shares of all entries together are at most this. */
export const wholeShare = 1_000_000;

const msPerSecond = 1000;
/** Size of the pool as a share of what a window allows: less than half, since the pool is for workspaces that use less than half. */
const poolRatio = 0.3;

/** Returns what all entries together may grant beyond their recent grants. */
export const computeExcessPool = ({ratePerSecond, burst}: WorkspaceLimit, windowMs: number): number =>
	poolRatio * ((ratePerSecond * windowMs / msPerSecond) + burst);
