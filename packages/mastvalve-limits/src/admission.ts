/**
 * Decides whether and when a request may be sent to an endpoint.
 */

export enum AdmissionKind {
	Now = 'now',
	/** Not before a given time. */
	At = 'at',
	/** Once a request in flight to the endpoint has been answered. */
	AfterAnswer = 'after-answer',
}

/** `at` is a monotonic time, ms. */
export type Admission = {kind: AdmissionKind.Now} | {kind: AdmissionKind.AfterAnswer} | {kind: AdmissionKind.At; at: number};
