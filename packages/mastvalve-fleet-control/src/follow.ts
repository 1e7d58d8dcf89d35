/**
 * What an entry asks for when it follows the fleet, and what it gets.
 */

import type {FleetCursor, FleetUpdate} from 'mastvalve-fleet';

/** A follower's question. */
export type FollowRequest = {
	/** How far the follower knows the changes. */
	place: FleetCursor;
	/** How long to wait for a change, ms. */
	waitMs: number;
	/** Whether the answer must include all that was committed before the question. */
	mustBeNewest: boolean;
};

/** The answer. */
export type FollowResponse = {
	update: FleetUpdate;
	/** Addresses of all control instances, for the next questions. */
	members: string[];
	/** Address of the leader, if one is known. */
	leader: string | undefined;
	/**
	 * The update leads to a state that holds all that was committed up to so long after the question came, or before it when
	 * negative, ms. Missing when this instance is sure of no moment.
	 */
	sureAfterMs?: number;
};
