/**
 * Callbacks through which a gateway reports its work to metrics. Durations in ms.
 */

import type {AnswerEnd} from '../streams/answer-end.js';

/** Receives the events of a gateway. */
export type GatewayObserver = {
	/** A request has ended; status 0 when its response was aborted or its caller disconnected first. */
	recordRequest: (kind: string, status: number, durationMs: number) => void;
	/** A new connection was taken, or closed before anything was read from it. */
	recordConnection: (isTaken: boolean) => void;
	/** A connection of a caller has failed, by the code of its error; `hasUnanswered` is whether requests were unanswered there. */
	recordConnectionError: (code: string, hasUnanswered: boolean) => void;
	/** A request was refused on admission. */
	recordRefusal: (reason: string) => void;
	/** A request was refused since its content, or a part of its prompt, is quarantined. */
	recordQuarantined: (isPart: boolean) => void;
	/** An attempt at an endpoint has ended. */
	recordAttempt: (outcome: string) => void;
	/** The body of an endpoint's answer has ended. */
	recordAnswerEnd: (end: AnswerEnd) => void;
	/** A caller has come back for a stream; `outcome` is the proof of the release that began it. */
	recordStreamReturn: (outcome: string) => void;
	/** A permit for limited endpoints was requested; `hasPermit` is whether one was granted. */
	recordPermit: (hasPermit: boolean) => void;
	/** An endpoint has refused a request and asked this entry to back off. */
	recordBackoff: () => void;
	/** A caller has not read an answer for a while; once for each answer. Or its answer was cut off because the entry held too much. */
	recordSlowReader: (isCutOff: boolean) => void;
	/** A claim of an engine has ended: `decision` is the leader's decision, with `queued-` before it if the claim waited there, or why there was none. */
	recordClaim: (decision: string, durationMs: number) => void;
	/** An engine was assigned that copies prompt parts of so many tokens; `isSent` is whether this entry knows the address of their source. */
	recordCopy: (isSent: boolean, tokens: number) => void;
	/** A request has stopped waiting for a model, an adapter or capacity. */
	recordWait: (isServed: boolean, durationMs: number) => void;
};

/** Discards all events. */
export const noopObserver: GatewayObserver = {
	recordRequest: () => undefined,
	recordRefusal: () => undefined,
	recordConnection: () => undefined,
	recordConnectionError: () => undefined,
	recordQuarantined: () => undefined,
	recordAttempt: () => undefined,
	recordAnswerEnd: () => undefined,
	recordStreamReturn: () => undefined,
	recordPermit: () => undefined,
	recordBackoff: () => undefined,
	recordClaim: () => undefined,
	recordCopy: () => undefined,
	recordWait: () => undefined,
	recordSlowReader: () => undefined,
};
