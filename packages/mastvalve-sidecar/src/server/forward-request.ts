/**
 * A request from an entry, as the sidecar reads it from the headers.
 */

import {Header, readPriority} from 'mastvalve-http';
import {BadRequestError, Priority} from 'mastvalve-types';

/** What the headers say. */
export type ForwardRequest = {
	requestId: string;
	attempt: string;
	/** Time left, ms. */
	deadlineMs: number;
	priority: Priority;
	/** Model whose memory is needed; undefined for plain services. */
	model: string | undefined;
	/** Incarnation of the endpoint that the entry means. */
	incarnation: number;
	/** Token of the claim under which a call that must not be repeated is dispatched. */
	claim: number | undefined;
};

const readNumber = (text: string | undefined, name: string): number => {
	const value = Number(text);
	if (text === undefined || !Number.isFinite(value)) {
		throw new BadRequestError(`${name} is missing or not a number; only entries call sidecars.`);
	}

	return value;
};

/** Reads the headers. */
export const readForwardRequest = (header: (name: string) => string | undefined): ForwardRequest => {
	const claim = header(Header.Claim);
	return {
		requestId: header(Header.RequestId) ?? 'none',
		attempt: header(Header.Attempt) ?? 'none',
		deadlineMs: readNumber(header(Header.DeadlineMs), Header.DeadlineMs),
		priority: readPriority(header(Header.Priority)).unwrapOr(Priority.Standard),
		model: header(Header.Model),
		incarnation: readNumber(header(Header.Incarnation), Header.Incarnation),
		claim: claim === undefined ? undefined : readNumber(claim, Header.Claim),
	};
};
