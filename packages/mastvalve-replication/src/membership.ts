/**
 * Members of the replicated log.
 *
 * A replica is identified by `name#disk`. A replica that lost its disk rejoins under a new identity, so that votes and
 * acknowledgements given before the loss are never attributed to it.
 */

/** `name#disk`, where `name` is the instance. */
export type ReplicaId = string;

/** Voters count towards quorums; learners only receive the log. */
export type Membership = {
	voters: ReplicaId[];
	learners: ReplicaId[];
};

export const formatReplicaId = (name: string, disk: string): ReplicaId => `${name}#${disk}`;

/** Returns the instance name of a replica identity. */
export const getInstanceName = (id: ReplicaId): string => id.split('#', 1)[0] ?? id;

/** Returns the number of voters that form a majority. */
export const quorumSize = (membership: Membership): number => Math.floor(membership.voters.length / 2) + 1;

/** Returns the highest value that a majority of voters has reached; negative infinity without voters. */
export const quorumValue = (membership: Membership, valueOf: (id: ReplicaId) => number): number => {
	const descending = membership.voters.map(valueOf).toSorted((a, b) => b - a);
	return descending[quorumSize(membership) - 1] ?? Number.NEGATIVE_INFINITY;
};

export const addLearner = (membership: Membership, id: ReplicaId): Membership => ({
	voters: membership.voters,
	learners: [...membership.learners.filter(learner => learner !== id), id],
});

export const promoteLearner = (membership: Membership, id: ReplicaId): Membership => ({
	voters: [...membership.voters.filter(voter => voter !== id), id],
	learners: membership.learners.filter(learner => learner !== id),
});

export const removeReplica = (membership: Membership, id: ReplicaId): Membership => ({
	voters: membership.voters.filter(voter => voter !== id),
	learners: membership.learners.filter(learner => learner !== id),
});
