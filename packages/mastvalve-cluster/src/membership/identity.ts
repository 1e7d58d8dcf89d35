/**
 * What an instance says of itself to others that look for the replicated log.
 */

import type {ReplicaId} from 'mastvalve-replication';

/** What an instance says of itself. */
export type Identity = {
	/** Where it answers calls of other instances, `ip:port`. */
	address: string;
	/** Undefined for an instance that keeps no log: it only tells others whom it knows. */
	replicaId: ReplicaId | undefined;
	clusterId: string | undefined;
	initialVoters: ReplicaId[];
	mayBegin: boolean;
	/** Addresses of instances that keep the log or want to, as far as it knows them. */
	peers: string[];
	/** Who begins the log when no seed keeps one; told by seeds without a log only. */
	founder: ReplicaId | undefined;
};
