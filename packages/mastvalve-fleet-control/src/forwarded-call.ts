/**
 * Paths of calls that an instance without a log passes on.
 */

import type {StatedConfiguration} from 'mastvalve-fleet';

/** The paths. */
export enum ForwardedCall {
	Configure = '/configure',
	ReadConfiguration = '/read-configuration',
	Report = '/report',
	Leave = '/leave',
}

/** The answer to a read; nothing is stated before the first configuration. */
export type ReadConfiguration = {stated: StatedConfiguration | undefined};
