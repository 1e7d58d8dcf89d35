/**
 * Decision log: rate-limited JSON lines on standard output, written without blocking on a slow reader.
 *
 * Of kinds that must be found by their request whatever the load, only the grounds are dropped beyond the rate limit: their requests are
 * listed together in later lines.
 */

import type {InstanceIdentity} from 'mastvalve-types';
import {pino} from 'pino';

/** Rate limit: twice the request rate of a busy entry. The next line within the limit reports the number of dropped lines. */
const maxLinesPerSecond = 100;
/** Capacity of the write buffer. Output beyond it is dropped when the reader is slow. */
const maxBufferedBytes = 262_144;
/** Requests named by one line; 16 digits each. */
const maxListedRequests = 200;
const secondMs = 1000;

/** Logs one decision. */
export type DecisionLogger = (kind: string, fields: Record<string, unknown>) => void;

/** Writes one line. */
export type WriteLine = (line: Record<string, unknown>) => void;

export type DecisionLoggerOptions = {
	write: WriteLine;
	/** Kinds whose lines name a request that has to be found whatever the load. */
	listedKinds: ReadonlySet<string>;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Calls back after a delay, ms. */
	schedule: (callback: () => void, delayMs: number) => void;
};

/** Returns the requests that a line names. */
const readRequests = ({request, requests}: Record<string, unknown>): string[] =>
	[request, ...(Array.isArray(requests) ? requests as unknown[] : [])].filter(each => typeof each === 'string');

/** Limits the rate of lines; requests of listed kinds are named even beyond it. */
export const limitLines = ({write, listedKinds, now, schedule}: DecisionLoggerOptions): DecisionLogger => {
	const listed = new Map<string, string[]>();
	let windowStart = now();
	let lines = 0;
	let droppedLines = 0;
	let isScheduled = false;
	const flush = (kind: string): void => {
		const requests = listed.get(kind) ?? [];
		listed.delete(kind);
		write({kind: 'requests.listed', of: kind, requests});
	};

	const list = (kind: string, named: readonly string[]): void => {
		const requests = listed.get(kind) ?? [];
		requests.push(...named);
		listed.set(kind, requests);
		if (requests.length >= maxListedRequests) {
			flush(kind);
		}

		if (!isScheduled) {
			isScheduled = true;
			schedule(() => {
				isScheduled = false;
				[...listed.keys()].forEach(each => {
					flush(each);
				});
			}, secondMs);
		}
	};

	return (kind, fields) => {
		if (now() - windowStart >= secondMs) {
			windowStart = now();
			lines = 0;
		}

		if (lines >= maxLinesPerSecond) {
			droppedLines += 1;
			const named = listedKinds.has(kind) ? readRequests(fields) : [];
			if (named.length > 0) {
				list(kind, named);
			}

			return;
		}

		lines += 1;
		write({kind, ...fields, ...(droppedLines > 0 ? {leftOut: droppedLines} : {})});
		droppedLines = 0;
	};
};

/** Creates the decision logger of a process. */
export const createDecisionLogger = (identity: InstanceIdentity, listedKinds: ReadonlySet<string>): DecisionLogger => {
	const logger = pino(
		{base: {...identity}, timestamp: pino.stdTimeFunctions.isoTime},
		pino.destination({dest: 1, sync: false, maxLength: maxBufferedBytes}),
	);
	return limitLines({
		write(line) {
			logger.info(line);
		},
		listedKinds,
		now: () => performance.now(),
		schedule(callback, delayMs) {
			setTimeout(callback, delayMs).unref();
		},
	});
};
