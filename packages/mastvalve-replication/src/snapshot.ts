/**
 * Snapshots of the state machine.
 */

import type {Membership} from './membership.js';

/** The state after all entries up to `index`. */
export type Snapshot = {
	index: number;
	term: number;
	membership: Membership;
	/** Plain data that the state machine gave. */
	data: unknown;
};
