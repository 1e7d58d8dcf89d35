/**
 * What the head of an answer says of its endpoint's limit: the requests a second that it takes from all entries together.
 */

/** What a head may say. */
export enum LimitHeaderKind {
	/** It names no limit. */
	Absent = 'absent',
	Rate = 'named',
	/** Something that is no rate; it neither begins, changes nor ends a limit. */
	Malformed = 'unreadable',
}

/** The word of one answer. */
export type LimitHeader = {kind: LimitHeaderKind.Absent} | {kind: LimitHeaderKind.Malformed} | {kind: LimitHeaderKind.Rate; perSecond: number};

/**
 * The lowest limit that is kept, requests a second. Only its answers tell when an endpoint's limit is over, so one that takes
 * nothing is asked this often all the same.
 */
export const minPerSecond = 0.1;

/** A decimal number of at most nine digits on each side; signs, exponents and lists are no rates. */
const decimalPattern = /^\d{1,9}(?:\.\d{1,9})?$/v;

/** Reads the field's value; undefined when the head has no such field. */
export const parseLimitHeader = (text: string | undefined): LimitHeader => {
	if (text === undefined) {
		return {kind: LimitHeaderKind.Absent};
	}

	const trimmed = text.trim();
	return decimalPattern.test(trimmed) ? {kind: LimitHeaderKind.Rate, perSecond: Math.max(minPerSecond, Number(trimmed))} : {kind: LimitHeaderKind.Malformed};
};
