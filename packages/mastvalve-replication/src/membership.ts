/**
 * Who takes part in the replicated log.
 *
 * An identity is `name#disk`: a replica whose disk was lost returns under a new identity, so that no vote or
 * acknowledgement of its former life is ever counted for the new one.
 */

/** Identity of a replica, `name#disk`. */
export type ReplicaId = string;

/** Voters make up quorums; learners only receive the log. */
export type Membership = {
	voters: ReplicaId[];
	learners: ReplicaId[];
};

/** Makes an identity. */
export const formatReplicaId = (name: string, disk: string): ReplicaId => `${name}#${disk}`;

/** The instance name in an identity. */
export const getInstanceName = (id: ReplicaId): string => id.split('#', 1)[0] ?? id;

/** How many voters make a majority. */
export const quorumSize = (membership: Membership): number => Math.floor(membership.voters.length / 2) + 1;

/** The highest value that a majority of voters has reached. */
export const quorumValue = (membership: Membership, valueOf: (id: ReplicaId) => number): number => {
	const descending = membership.voters.map(valueOf).toSorted((a, b) => b - a);
	return descending[quorumSize(membership) - 1] ?? Number.NEGATIVE_INFINITY;
};

/** Adds a learner. */
export const addLearner = (membership: Membership, id: ReplicaId): Membership => ({
	voters: membership.voters,
	learners: [...membership.learners.filter(learner => learner !== id), id],
});

/** Makes a learner a voter. */
export const promoteLearner = (membership: Membership, id: ReplicaId): Membership => ({
	voters: [...membership.voters.filter(voter => voter !== id), id],
	learners: membership.learners.filter(learner => learner !== id),
});

/** Takes a replica out. */
export const removeReplica = (membership: Membership, id: ReplicaId): Membership => ({
	voters: membership.voters.filter(voter => voter !== id),
	learners: membership.learners.filter(learner => learner !== id),
});
