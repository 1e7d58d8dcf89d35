/**
 * Changes of quarantines, as followers receive them.
 */

/** The newest state of one request, or of one part of prompts. */
export type QuarantineChange = {
	fingerprint: string;
	/** False if it may be sent to endpoints. */
	isQuarantined: boolean;
	/** Numbers of the crashes that count against it, the oldest first; missing if there are none, and from earlier versions. */
	crashes?: number[];
	/** Answers to requests with it have begun at the same time as the crashes up to this number; missing if none has. */
	begunNumber?: number;
	/** Whether requests with it have been answered; it takes more crashes to quarantine it then. */
	isSound?: boolean;
};
