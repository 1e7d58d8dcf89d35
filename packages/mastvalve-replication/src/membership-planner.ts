/**
 * Plans membership changes, one replica at a time.
 *
 * A replica that returns with an empty disk joins as a learner. It is promoted once it has caught up, and only then is
 * its previous identity removed, so that no quorum ever depends on a replica that lacks the log.
 */

import {
	addLearner, getInstanceName, promoteLearner, removeReplica, type Membership, type ReplicaId,
} from './membership.js';

export type MembershipBounds = {
	/** Target number of voters; a learner is not promoted beyond it. */
	maxVoters: number;
	/** Whether a replica has not responded for so long that another one may replace it. */
	isUnresponsive: (id: ReplicaId) => boolean;
};

/** Promotes every replica that joins and replaces a replica only by a newer identity of the same instance. */
export const unboundedMembership: MembershipBounds = {maxVoters: Number.POSITIVE_INFINITY, isUnresponsive: () => false};

const hasNewerIdentity = (ids: readonly ReplicaId[]) => (id: ReplicaId, index: number): boolean =>
	ids.slice(index + 1).some(other => getInstanceName(other) === getInstanceName(id));

/** Returns the next membership; undefined when no change is needed. */
export const planNextMembership = (
	membership: Membership,
	joining: readonly ReplicaId[],
	isCaughtUp: (id: ReplicaId) => boolean,
	{maxVoters, isUnresponsive}: MembershipBounds = unboundedMembership,
): Membership | undefined => {
	const {voters, learners} = membership;
	const members = new Set([...voters, ...learners]);
	const newReplica = joining.find(id => !members.has(id));
	const obsoleteLearner = learners.find(hasNewerIdentity(learners)) ?? learners.find(id => isUnresponsive(id) && !joining.includes(id));
	const obsoleteVoter = voters.find(hasNewerIdentity(voters));
	const promotableLearner = learners.find(id => isCaughtUp(id) && !isUnresponsive(id));
	const hasAllVoters = voters.length >= maxVoters;
	const learnerNames = new Set(learners.map(getInstanceName));
	// A voter whose instance returned with an empty disk can never vote again, so it is replaced first.
	const replaceableVoter = voters.find(id => learnerNames.has(getInstanceName(id))) ?? voters.find(isUnresponsive);
	if (obsoleteVoter) {
		return removeReplica(membership, obsoleteVoter);
	}

	if (obsoleteLearner) {
		return removeReplica(membership, obsoleteLearner);
	}

	if (promotableLearner && !hasAllVoters) {
		return promoteLearner(membership, promotableLearner);
	}

	if (promotableLearner && replaceableVoter) {
		return removeReplica(membership, replaceableVoter);
	}

	return newReplica ? addLearner(membership, newReplica) : undefined;
};
