/**
 * Verifies the end of an answer that nothing frames: of an event stream that ended between two events, and of any other body whose endpoint is
 * about to end.
 *
 * A process that dies closes its connections just as one that has sent its whole answer, so only what becomes of the process tells the two
 * apart. The bytes have been passed on by then; only the end of the caller's answer waits.
 */

import type {FleetEndpoint} from 'mastvalve-fleet';
import type {GatewayCore} from '../server/gateway-core.js';
import {BodyEnd, type AnswerEnd} from '../streams/answer-end.js';

/** Whether an endpoint has neither said that it leaves nor ended, as far as is known. */
const isExpectedToStay = ({view, tracker}: GatewayCore, id: string): boolean =>
	view.isAvailable(id) && !tracker.getOrCreate(id).isLeaving;

/**
 * Whether nothing but the closed connection says that the body has ended. Endpoints that are expected to stay aren't asked about bodies that are
 * no event streams: that would double the connections to a service that frames none of them.
 */
const isUnconfirmed = (core: GatewayCore, id: string, {isComplete, end, events, bytes}: AnswerEnd): boolean =>
	isComplete && end === BodyEnd.Closed && (events !== undefined || (bytes > 0 && !isExpectedToStay(core, id)));

/**
 * Returns the end with what its endpoint's process tells of it. An endpoint that can't be reached tells nothing. One that leaves is asked as
 * well: it listens until its last answer is sent, and what it runs when its time is over is cut off.
 */
export const verifyEnd = async (core: GatewayCore, {id, address}: FleetEndpoint, end: AnswerEnd): Promise<AnswerEnd> => {
	if (!isUnconfirmed(core, id, end)) {
		return end;
	}

	// An answer has an event at least.
	if (end.events === 0) {
		return {...end, isComplete: false};
	}

	const hasEndpointDied = await core.crashDetector.hasStoppedListening(address);
	return {...end, hasEndpointDied, isComplete: !hasEndpointDied};
};
