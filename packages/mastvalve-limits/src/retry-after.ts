/**
 * The `Retry-After` field of an answer (RFC 9110, section 10.2.3): how long its sender asks the client to back off. Fractions of a
 * second are accepted. A date counts from the `Date` field of the same answer, so the clocks of the two sides need not agree.
 */

/** What an answer says. */
export enum RetryAfterKind {
	/** It has no such field. */
	Absent = 'absent',
	Delay = 'delay',
	/** Neither a delay nor a date with a reference; it asks for nothing. */
	Malformed = 'unreadable',
}

/** The field of one answer; the delay in ms. */
export type RetryAfter = {kind: RetryAfterKind.Absent} | {kind: RetryAfterKind.Malformed} | {kind: RetryAfterKind.Delay; delayMs: number};

const msPerSecond = 1000;

/** A decimal number of at most nine digits on each side, without sign or exponent. */
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;
/** The fixed-length form of an HTTP date. */
const httpDatePattern = /^(?:Mon|Tue|Wed|Thu|Fri|Sat|Sun), \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/v;

const parseDelayMs = (text: string, answeredAt: string | undefined): number => {
	const trimmed = text.trim();
	if (decimalPattern.test(trimmed)) {
		return Number(trimmed) * msPerSecond;
	}

	return httpDatePattern.test(trimmed) ? Math.max(0, Date.parse(trimmed) - Date.parse(answeredAt ?? '')) : Number.NaN;
};

/** Reads all values of the field; of several that can be read the longest delay counts. `answeredAt` is the value of `Date`. */
export const parseRetryAfter = (values: readonly string[], answeredAt?: string): RetryAfter => {
	if (values.length === 0) {
		return {kind: RetryAfterKind.Absent};
	}

	const delays = values.map(value => parseDelayMs(value, answeredAt)).filter(delayMs => Number.isFinite(delayMs));
	return delays.length === 0 ? {kind: RetryAfterKind.Malformed} : {kind: RetryAfterKind.Delay, delayMs: Math.max(...delays)};
};
