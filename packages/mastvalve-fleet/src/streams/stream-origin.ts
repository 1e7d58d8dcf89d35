/**
 * Where a resumable stream began. What two releases of the endpoints' software send doesn't fit together, so a stream goes on only at
 * the release that sent its first event.
 */

import {isEarlierIncarnation, parseIncarnation} from '../state/endpoint-incarnation.js';
import type {FleetEndpoint} from '../state/fleet-endpoint.js';

export type StreamOrigin = {
	/** Id of the request that brought the first event, with its workspace. */
	key: string;
	service: string;
	/** Incarnation that the request was sent to. */
	endpoint: string;
	release: string;
	/** Time since the first event, ms; instances share no clock. */
	ageMs: number;
	/** Time until the caller has given the stream up, ms. */
	remainingMs: number;
};

/** Formats the key of a stream; ids of two workspaces may be equal. */
export const formatStreamKey = (requestId: string, workspace: string | undefined): string => `${workspace ?? ''}\n${requestId}`;

/** Stands for a release that isn't known. No endpoint has it, so a stream that it began goes on nowhere. */
export const unknownRelease = '\nunknown';

/**
 * Time by which an endpoint's clock may be ahead of an instance's, ms. Within it, an endpoint that started after a stream's first event
 * may have started before it.
 */
const clockSkewMs = 300;

/**
 * Whether a later incarnation of the endpoint, with another release, may have answered in its place: one that had started before the first
 * event, and whose first heartbeat came after. Start times order the incarnations of a name unless its clock is set back. `wall` is the time of
 * day, ms.
 */
export const isAmbiguousOrigin = ({endpoint, release, ageMs}: StreamOrigin, endpoints: ReadonlyArray<Pick<FleetEndpoint, 'id' | 'release'>>, wall: number): boolean => {
	const {name} = parseIncarnation(endpoint);
	return endpoints.some(other => {
		const incarnation = parseIncarnation(other.id);
		const isLater = incarnation.name === name && other.id !== endpoint && !isEarlierIncarnation(other.id, endpoint);
		return isLater && other.release !== release && (incarnation.startedAt ?? 0) <= wall - ageMs + clockSkewMs;
	});
};
