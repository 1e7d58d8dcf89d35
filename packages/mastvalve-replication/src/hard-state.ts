/**
 * The state besides the log that must be durable before a replica responds to a message.
 */

import type {ReplicaId} from './membership.js';

/** Current term and the vote granted in it. */
export type HardState = {
	term: number;
	votedFor?: ReplicaId;
};
