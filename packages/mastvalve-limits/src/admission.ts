/**
 * Whether something may be sent to an endpoint, and when.
 */

/** The kinds of answers. */
export enum AdmissionKind {
	Now = 'now',
	/** Not before a moment. */
	At = 'at',
	/** As soon as a request in progress there is answered. */
	AfterAnswer = 'after-answer',
}

/** The answer; monotonic ms. */
export type Admission = {kind: AdmissionKind.Now} | {kind: AdmissionKind.AfterAnswer} | {kind: AdmissionKind.At; at: number};
