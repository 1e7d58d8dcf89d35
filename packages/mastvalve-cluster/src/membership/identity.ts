/**
 * The answer of an instance to peers that discover the replicated log.
 */

import type {ReplicaId} from 'mastvalve-replication';

export type Identity = {
	/** Address for calls from other instances, `ip:port`. */
	address: string;
	/** Undefined for an instance without a log, which only reports the peers that it knows. */
	replicaId: ReplicaId | undefined;
	clusterId: string | undefined;
	/** Voters with which the log was formed; without a log, the founders that this instance has recorded, if any. */
	initialVoters: ReplicaId[];
	/** Whether it may create a log; for an instance without a replica, whether it may name a founder. */
	mayBegin: boolean;
	/** Known addresses of instances that have a replica of the log or want one. */
	peers: string[];
	/** The replica that creates the log when no seed has a replica; reported only by seeds without one. */
	founder: ReplicaId | undefined;
};
