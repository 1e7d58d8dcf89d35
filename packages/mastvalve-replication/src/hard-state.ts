/**
 * The part of a replica's state besides the log that must be durable before it answers.
 */

import type {ReplicaId} from './membership.js';

/** Term and vote. */
export type HardState = {
	term: number;
	votedFor?: ReplicaId;
};
