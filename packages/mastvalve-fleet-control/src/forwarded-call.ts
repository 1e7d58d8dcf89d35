/**
 * Paths of the calls that an instance without a log forwards.
 */

import type {StatedConfiguration} from 'mastvalve-fleet';

export enum ForwardedCall {
	Configure = '/configure',
	ReadConfiguration = '/read-configuration',
	Report = '/report',
	Leave = '/leave',
}

/** Response to a read; `stated` is undefined before the first configuration. */
export type ReadConfiguration = {stated: StatedConfiguration | undefined};
