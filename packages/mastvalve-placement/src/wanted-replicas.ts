/**
 * How many replicas of a model are worth having.
 */

/** Knobs of the choice. */
export type ReplicaPolicy = {
	/** Requests a second that one replica serves within target. */
	ratePerReplica: number;
	/** A replica is given up only when demand would fit into this share of what would remain. */
	releaseShare: number;
};

/** A replica goes when what remains would be filled to half; see docs/design/placement.md. */
export const defaultReleaseShare = 0.5;

/** Replicas for a demand, with hysteresis: more at once, fewer only when demand is well below. */
export const chooseWantedReplicas = (demand: number, current: number, minimum: number, policy: ReplicaPolicy): number => {
	const needed = Math.ceil(demand / policy.ratePerReplica);
	const kept = Math.ceil(demand / (policy.ratePerReplica * policy.releaseShare));
	return Math.max(minimum, needed, Math.min(current, kept));
};
