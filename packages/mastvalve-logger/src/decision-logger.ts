/**
 * Decision log: rate-limited JSON lines on standard output, written without blocking on a slow reader.
 */

import type {InstanceIdentity} from 'mastvalve-types';
import {pino} from 'pino';

/** Rate limit: twice the request rate of a busy entry. The next line within the limit reports the number of dropped lines. */
const maxLinesPerSecond = 100;
/** Capacity of the write buffer. Output beyond it is dropped when the reader is slow. */
const maxBufferedBytes = 262_144;
const secondMs = 1000;

/** Logs one decision. */
export type DecisionLogger = (kind: string, fields: Record<string, unknown>) => void;

/** Creates the decision logger of a process. `now` returns monotonic milliseconds. */
export const createDecisionLogger = (identity: InstanceIdentity, now: () => number = () => performance.now()): DecisionLogger => {
	const logger = pino(
		{base: {...identity}, timestamp: pino.stdTimeFunctions.isoTime},
		pino.destination({dest: 1, sync: false, maxLength: maxBufferedBytes}),
	);
	let windowStart = now();
	let lines = 0;
	let droppedLines = 0;
	return (kind, fields) => {
		if (now() - windowStart >= secondMs) {
			windowStart = now();
			lines = 0;
		}

		if (lines >= maxLinesPerSecond) {
			droppedLines += 1;
			return;
		}

		lines += 1;
		logger.info({kind, ...fields, ...(droppedLines > 0 ? {leftOut: droppedLines} : {})});
		droppedLines = 0;
	};
};
