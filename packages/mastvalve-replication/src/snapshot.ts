/**
 * Snapshots of the state machine.
 */

import type {Membership} from './membership.js';

/** State after all entries up to and including `index`. */
export type Snapshot = {
	index: number;
	term: number;
	membership: Membership;
	/** Serializable data from `StateMachine.takeSnapshot`. */
	data: unknown;
};
