/**
 * Which control instance to ask next.
 */

/** What the choice rests on; instances by their position. */
export type NextInstanceInput = {
	count: number;
	/** The instance that has just failed to answer for good. */
	asked: number;
	/** The instance that is asked first at this moment; other calls may have changed it meanwhile. */
	preferred: number;
	/** The leader that the asked instance named, if it knows one. */
	leader: number | undefined;
};

/** The next instance: the leader that was named; else what another call has found meanwhile; else the one behind. */
export const chooseNextInstance = ({count, asked, preferred, leader}: NextInstanceInput): number => {
	if (leader !== undefined && leader !== asked) {
		return leader;
	}

	return preferred === asked ? (asked + 1) % count : preferred;
};
