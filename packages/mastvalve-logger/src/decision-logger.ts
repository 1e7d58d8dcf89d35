/**
 * Logs of decisions: JSON lines on standard output, bounded in volume, written without ever waiting for the reader.
 */

import type {InstanceIdentity} from 'mastvalve-types';
import {pino} from 'pino';

/** Lines a second at the most; what is left out is counted in the next line that fits. Twice the requests of a busy entry. */
const maxLinesPerSecond = 100;
/** Bytes that may wait for a slow reader; more are dropped. */
const maxWaitingBytes = 262_144;
const secondMs = 1000;

/** Writes one line for a decision. */
export type DecisionLogger = (kind: string, fields: Record<string, unknown>) => void;

/** Makes the logger of a process. */
export const createDecisionLogger = (identity: InstanceIdentity, now: () => number = () => performance.now()): DecisionLogger => {
	const logger = pino(
		{base: {...identity}, timestamp: pino.stdTimeFunctions.isoTime},
		pino.destination({dest: 1, sync: false, maxLength: maxWaitingBytes}),
	);
	let windowStart = now();
	let lines = 0;
	let leftOut = 0;
	return (kind, fields) => {
		if (now() - windowStart >= secondMs) {
			windowStart = now();
			lines = 0;
		}

		if (lines >= maxLinesPerSecond) {
			leftOut += 1;
			return;
		}

		lines += 1;
		logger.info({kind, ...fields, ...(leftOut > 0 ? {leftOut} : {})});
		leftOut = 0;
	};
};
