/**
 * Which membership change a leader makes next, one at a time.
 *
 * A replica that came back with an empty disk is first a learner. Once it has caught up it becomes a voter, and only
 * then does its former identity leave: at no moment does a quorum rest on a replica that lacks the log.
 */

import {
	addLearner, getInstanceName, promoteLearner, removeReplica, type Membership, type ReplicaId,
} from './membership.js';

/** Bounds of the planner. */
export type MembershipBounds = {
	/** Voters that are wanted; more are only taken in while there is no bound. */
	maxVoters: number;
	/** Whether a replica has not answered for so long that another one may take its place. */
	isUnresponsive: (id: ReplicaId) => boolean;
};

/** Every replica that joins becomes a voter, and none gives way but to its own next identity. */
export const unboundedMembership: MembershipBounds = {maxVoters: Number.POSITIVE_INFINITY, isUnresponsive: () => false};

const hasNewerIdentity = (ids: readonly ReplicaId[]) => (id: ReplicaId, index: number): boolean =>
	ids.slice(index + 1).some(other => getInstanceName(other) === getInstanceName(id));

/** The next membership, or undefined when nothing is to be done. */
export const planNextMembership = (
	membership: Membership,
	joining: readonly ReplicaId[],
	isCaughtUp: (id: ReplicaId) => boolean,
	{maxVoters, isUnresponsive: isSilent}: MembershipBounds = unboundedMembership,
): Membership | undefined => {
	const {voters, learners} = membership;
	const known = new Set([...voters, ...learners]);
	const newcomer = joining.find(id => !known.has(id));
	const outdatedLearner = learners.find(hasNewerIdentity(learners)) ?? learners.find(id => isSilent(id) && !joining.includes(id));
	const replaced = voters.find(hasNewerIdentity(voters));
	const ready = learners.find(id => isCaughtUp(id) && !isSilent(id));
	const isFull = voters.length >= maxVoters;
	const takenNames = new Set(learners.map(getInstanceName));
	// A voter whose machine came back with an empty disk can never vote again; it gives way first.
	const replaceable = voters.find(id => takenNames.has(getInstanceName(id))) ?? voters.find(isSilent);
	if (replaced) {
		return removeReplica(membership, replaced);
	}

	if (outdatedLearner) {
		return removeReplica(membership, outdatedLearner);
	}

	if (ready && !isFull) {
		return promoteLearner(membership, ready);
	}

	if (ready && replaceable) {
		return removeReplica(membership, replaceable);
	}

	return newcomer ? addLearner(membership, newcomer) : undefined;
};
