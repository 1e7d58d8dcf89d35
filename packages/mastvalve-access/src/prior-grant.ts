/**
 * Grants that the leader doesn't know of.
 */

/** Amount that an entry was granted within one step without this leader, and the age of its latest grant, ms. */
export type PriorGrant = {
	workspace: string;
	amount: number;
	ageMs: number;
	/** Whether the entry granted it itself while no leader answered; otherwise an earlier leader has recorded it. */
	isLocal: boolean;
};
