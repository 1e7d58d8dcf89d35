/**
 * What a gateway tells of its work, for metrics. Durations in ms.
 */

/** The observer. */
export type GatewayObserver = {
	/** A request is over; status 0 when its answer was broken off or its caller left first. */
	recordRequest: (kind: string, status: number, durationMs: number) => void;
	/** A caller was not let in, for this reason. */
	recordRefusal: (reason: string) => void;
	/** An attempt at an endpoint is over. */
	recordAttempt: (outcome: string) => void;
	/** A permit was claimed at limited endpoints; whether there was one. */
	recordPermit: (hasPermit: boolean) => void;
	/** An endpoint has refused a request and asked this entry to back off. */
	recordBackoff: () => void;
	/** A request has stopped waiting for a model, an adapter or capacity. */
	recordWait: (isServed: boolean, durationMs: number) => void;
};

/** Takes note of nothing. */
export const silentObserver: GatewayObserver = {
	recordRequest: () => undefined,
	recordRefusal: () => undefined,
	recordAttempt: () => undefined,
	recordPermit: () => undefined,
	recordBackoff: () => undefined,
	recordWait: () => undefined,
};
