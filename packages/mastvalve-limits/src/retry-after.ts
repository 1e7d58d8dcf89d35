/**
 * `Retry-After` field of a response (RFC 9110, section 10.2.3): the backoff that the sender asks for. Fractions of a second are accepted.
 * A date is relative to the `Date` field of the same response, so the clocks of the two sides need not agree.
 */

export enum RetryAfterKind {
	/** The response has no such field. */
	Absent = 'absent',
	Delay = 'delay',
	/** Neither a delay nor a date with a reference; no backoff applies. */
	Malformed = 'unreadable',
}

/** Parsed field of one response. */
export type RetryAfter = {kind: RetryAfterKind.Absent} | {kind: RetryAfterKind.Malformed} | {kind: RetryAfterKind.Delay; delayMs: number};

const msPerSecond = 1000;

/** Decimal number of at most nine digits on each side, without sign or exponent. */
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;
/** HTTP date in its fixed-length form. */
const httpDatePattern = /^(?:Mon|Tue|Wed|Thu|Fri|Sat|Sun), \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;

const parseDelayMs = (text: string, answeredAt: string | undefined): number => {
	const trimmed = text.trim();
	if (decimalPattern.test(trimmed)) {
		return Number(trimmed) * msPerSecond;
	}

	return httpDatePattern.test(trimmed) ? Math.max(0, Date.parse(trimmed) - Date.parse(answeredAt ?? '')) : Number.NaN;
};

/** Parses all values of the field. The longest of several valid delays applies. `answeredAt` is the value of `Date`. */
export const parseRetryAfter = (values: readonly string[], answeredAt?: string): RetryAfter => {
	if (values.length === 0) {
		return {kind: RetryAfterKind.Absent};
	}

	const delays = values.map(value => parseDelayMs(value, answeredAt)).filter(delayMs => Number.isFinite(delayMs));
	return delays.length === 0 ? {kind: RetryAfterKind.Malformed} : {kind: RetryAfterKind.Delay, delayMs: Math.max(...delays)};
};
