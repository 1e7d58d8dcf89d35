/**
 * Times of the replicated log in a control group.
 */

import type {ReplicaTimes} from 'mastvalve-replication';

/**
 * Heartbeats well below the shortest bound for configurations (2 s), elections above a TCP retransmission (0.2 to
 * 0.4 s), so that a lost packet alone moves no leader.
 */
export const groupTimes: ReplicaTimes = {electionTimeoutMs: 550, heartbeatMs: 110, maxClockDrift: 0.1};
