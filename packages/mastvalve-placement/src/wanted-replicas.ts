/**
 * Number of replicas of a model for a given demand.
 */

export type ReplicaPolicy = {
	/** Requests per second that one replica serves within the objective. */
	ratePerReplica: number;
	/** A replica is released only if the demand fits into this share of the remaining capacity. */
	releaseShare: number;
};

/** A replica is released if the remaining capacity would be at most half used; see docs/design/placement.md. */
export const defaultReleaseShare = 0.5;

/** Returns the replicas for a demand, with hysteresis: scales up immediately, and down only when the demand is well below capacity. */
export const chooseWantedReplicas = (demand: number, current: number, minimum: number, policy: ReplicaPolicy): number => {
	const needed = Math.ceil(demand / policy.ratePerReplica);
	const kept = Math.ceil(demand / (policy.ratePerReplica * policy.releaseShare));
	return Math.max(minimum, needed, Math.min(current, kept));
};
