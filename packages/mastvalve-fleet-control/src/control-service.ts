/**
 * Calls of operators and endpoints that every control instance handles, whether or not it stores the log itself.
 */

import type {EndpointReport, StatedConfiguration} from 'mastvalve-fleet';
import type {MastvalveError} from 'mastvalve-types';
import type {Result} from 'neverthrow';

/** A result without an error is committed. */
export type ControlService = {
	/** Puts a configuration in force, unless its version is not newer than the current one; returns the version in force. */
	configure: (stated: StatedConfiguration) => Promise<Result<number, MastvalveError>>;
	/** Returns the newest configuration; an error if it can't be confirmed to be the newest. */
	readConfiguration: () => Promise<Result<StatedConfiguration | undefined, MastvalveError>>;
	/** Records a heartbeat of an endpoint. */
	report: (report: EndpointReport) => Promise<Result<true, MastvalveError>>;
	/** Records that an endpoint leaves permanently. */
	leave: (id: string) => Promise<Result<true, MastvalveError>>;
};
