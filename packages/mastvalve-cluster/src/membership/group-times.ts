/**
 * Timing of the replicated log in a control group.
 */

import type {ReplicaTimes} from 'mastvalve-replication';

/**
 * The heartbeat interval is well below the shortest bound for configurations (2 s). The election timeout exceeds a TCP
 * retransmission (0.2 to 0.4 s), so that a single lost packet causes no election.
 */
export const groupTimes: ReplicaTimes = {electionTimeoutMs: 550, heartbeatMs: 110, maxClockDrift: 0.1};
