/**
 * Which membership change a leader makes next, one at a time.
 *
 * A replica that came back with an empty disk is first a learner. Once it has caught up it becomes a voter, and only
 * then does its former identity leave: at no moment does a quorum rest on a replica that lacks the log.
 */

import {
	addLearner, nameOfReplica, promoteLearner, removeReplica, type Membership, type ReplicaId,
} from './membership.js';

/** The next membership, or undefined when nothing is to be done. */
export const planNextMembership = (
	membership: Membership,
	joining: readonly ReplicaId[],
	isCaughtUp: (id: ReplicaId) => boolean,
): Membership | undefined => {
	const known = new Set([...membership.voters, ...membership.learners]);
	const newcomer = joining.find(id => !known.has(id));
	const outdatedLearner = membership.learners.find((id, index) =>
		membership.learners.slice(index + 1).some(other => nameOfReplica(other) === nameOfReplica(id)));
	const replaced = membership.voters.find((id, index) =>
		membership.voters.slice(index + 1).some(other => nameOfReplica(other) === nameOfReplica(id)));
	const ready = membership.learners.find(isCaughtUp);
	if (replaced) {
		return removeReplica(membership, replaced);
	}

	if (outdatedLearner) {
		return removeReplica(membership, outdatedLearner);
	}

	if (ready) {
		return promoteLearner(membership, ready);
	}

	return newcomer ? addLearner(membership, newcomer) : undefined;
};
