/**
 * How the body of an endpoint's answer ended.
 */

import type {IncomingMessage} from 'node:http';
import {hasBody} from './stream-content.js';

/** What tells the end of a body. */
export enum BodyFraming {
	Length = 'length',
	Chunked = 'chunked',
	/** Neither is needed: such an answer has no body. */
	Bodiless = 'bodiless',
	/** Neither: the body ends with its connection. */
	Connection = 'connection',
}

export enum BodyEnd {
	/** All that the length or the chunks announced has arrived. */
	Framed = 'framed',
	/** The connection was closed before the announced end. */
	Short = 'short',
	/** The connection was closed, and nothing else tells the end. */
	Closed = 'closed',
	/** The connection was reset or failed. */
	Failed = 'failed',
}

/** End of a relayed body. */
export type AnswerEnd = {
	framing: BodyFraming;
	end: BodyEnd;
	/** Bytes received from the endpoint. */
	bytes: number;
	/** Complete events; undefined for a body that isn't an event stream. */
	events: number | undefined;
	/** Whether an event stream ended inside an event. */
	isInsideEvent: boolean;
	/** Whether the endpoint's process has ended, where only that tells a broken stream from a whole one; undefined where it wasn't asked. */
	hasEndpointDied?: boolean;
	isComplete: boolean;
};

const lastCodingIsChunkedPattern = /(?:^|,)\s*chunked\s*$/iv;

export const findFraming = (res: IncomingMessage, method: string): BodyFraming => {
	const coding = res.headers['transfer-encoding'];
	if (!hasBody(res, method)) {
		return BodyFraming.Bodiless;
	}

	if (coding !== undefined) {
		return lastCodingIsChunkedPattern.test(coding) ? BodyFraming.Chunked : BodyFraming.Connection;
	}

	return res.headers['content-length'] === undefined ? BodyFraming.Connection : BodyFraming.Length;
};

/** Whether a body has ended as announced. What its connection carries or suffers behind an announced end is no part of it. */
export const isBodyWhole = ({complete}: IncomingMessage, framing: BodyFraming, hasFailed: boolean): boolean =>
	complete && (framing !== BodyFraming.Connection || !hasFailed);

/** Classifies a body that has ended. `hasFailed` is whether its connection was reset or failed. */
export const findBodyEnd = (res: IncomingMessage, framing: BodyFraming, hasFailed: boolean): BodyEnd => {
	if (framing !== BodyFraming.Connection && res.complete) {
		return BodyEnd.Framed;
	}

	if (hasFailed) {
		return BodyEnd.Failed;
	}

	return res.complete ? BodyEnd.Closed : BodyEnd.Short;
};
