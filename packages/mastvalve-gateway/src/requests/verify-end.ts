/**
 * Verifies the end of an event stream that nothing frames and that ended between two events.
 *
 * A process that dies closes its connections just as one that has sent its whole answer, so only what becomes of the process tells the two
 * apart. The events have been passed on by then; only the end of the caller's answer waits.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import {BodyEnd, type AnswerEnd} from '../streams/answer-end.js';

/** Whether an endpoint is expected to go on listening. One that leaves may end right after its last answer. */
const isExpectedToStay = ({view, tracker}: GatewayCore, id: string): boolean =>
	view.isAvailable(id) && !tracker.getOrCreate(id).isLeaving;

/** Whether nothing but the closed connection says that the stream has ended. */
const isUnconfirmed = ({isComplete, end, events}: AnswerEnd): boolean =>
	isComplete && end === BodyEnd.Closed && events !== undefined;

/** Returns the end with what its endpoint's process tells of it. An endpoint that can't be reached tells nothing. */
export const verifyEnd = async (core: GatewayCore, {id, address}: FleetEndpoint, end: AnswerEnd): Promise<AnswerEnd> => {
	if (!isUnconfirmed(end)) {
		return end;
	}

	// An answer has an event at least.
	if (end.events === 0) {
		return {...end, isComplete: false};
	}

	const hasEndpointDied = isExpectedToStay(core, id) && await core.crashDetector.hasStoppedListening(address);
	return {...end, hasEndpointDied, isComplete: !hasEndpointDied};
};
