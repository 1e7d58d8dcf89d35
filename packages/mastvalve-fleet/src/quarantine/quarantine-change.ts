/**
 * Changes of quarantines, as followers receive them.
 */

/** The newest state of one request. */
export type QuarantineChange = {
	fingerprint: string;
	/** False once the request may be sent to endpoints again. */
	isQuarantined: boolean;
};
