/**
 * Process log: JSON lines that name the instance and its failure domain.
 */

import {LogLevel, type InstanceIdentity} from 'mastvalve-types';
import {pino, type Logger} from 'pino';

export type {Logger} from 'pino';

/** Creates a logger that writes to standard error, because standard output is reserved for data. */
export const createLogger = (identity: InstanceIdentity, level: LogLevel = LogLevel.Info): Logger =>
	pino(
		{
			level,
			base: {instance: identity.instance, failureDomain: identity.failureDomain},
			timestamp: pino.stdTimeFunctions.isoTime,
		},
		pino.destination({fd: 2, sync: true}),
	);
