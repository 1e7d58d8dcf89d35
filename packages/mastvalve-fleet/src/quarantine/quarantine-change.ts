/**
 * What followers learn of the requests that are not handed to any endpoint.
 */

/** The newest word on one request. */
export type QuarantineChange = {
	fingerprint: string;
	/** False once it may be handed to endpoints again. */
	isQuarantined: boolean;
};
