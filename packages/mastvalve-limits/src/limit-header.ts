/**
 * Limit header of a response: the requests per second that its endpoint accepts from all entries together.
 */

export enum LimitHeaderKind {
	/** The response has no limit header. */
	Absent = 'absent',
	Rate = 'named',
	/** The value is not a rate; it neither sets, changes nor clears a limit. */
	Malformed = 'unreadable',
}

/** Parsed limit header of one response. */
export type LimitHeader = {kind: LimitHeaderKind.Absent} | {kind: LimitHeaderKind.Malformed} | {kind: LimitHeaderKind.Rate; perSecond: number};

/**
 * Lower bound of a limit, requests per second. The end of a limit is only known from responses of the endpoint, so an endpoint that
 * announces 0 still receives requests at this rate.
 */
export const minPerSecond = 0.1;

/** Decimal number of at most nine digits on each side. Signs, exponents and lists are rejected. */
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;

/** Parses the header's value; `text` is undefined if the response has no such header. */
export const parseLimitHeader = (text: string | undefined): LimitHeader => {
	if (text === undefined) {
		return {kind: LimitHeaderKind.Absent};
	}

	const trimmed = text.trim();
	return decimalPattern.test(trimmed) ? {kind: LimitHeaderKind.Rate, perSecond: Math.max(minPerSecond, Number(trimmed))} : {kind: LimitHeaderKind.Malformed};
};
