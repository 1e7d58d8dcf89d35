/**
 * Messages with which an entry follows the state of the fleet.
 */

import type {FleetCursor, FleetUpdate} from 'mastvalve-fleet';

export type FollowRequest = {
	/** Position up to which the follower has received changes. */
	place: FleetCursor;
	/** Longest wait for a change, ms. */
	waitMs: number;
	/** Whether the response must include everything committed before the request. */
	mustBeNewest: boolean;
};

export type FollowResponse = {
	update: FleetUpdate;
	/** Addresses of all control instances, for further requests. */
	members: string[];
	/** Address of the leader, if one is known. */
	leader: string | undefined;
	/**
	 * The updated state includes everything committed up to this time, relative to the arrival of the request (negative:
	 * before it), ms. Missing if this instance can't confirm any time.
	 */
	sureAfterMs?: number;
};
