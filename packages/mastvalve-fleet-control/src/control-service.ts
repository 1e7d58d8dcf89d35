/**
 * What operators and endpoints may ask of any control instance, whether it keeps the log itself or not.
 */

import type {EndpointReport, StatedConfiguration} from 'mastvalve-fleet';
import type {MastvalveError} from 'mastvalve-types';
import type {Result} from 'neverthrow';

/** The service. What it answers without an error is committed. */
export type ControlService = {
	/** Puts a configuration in force, unless one at least as new is; the result is the version held. */
	configure: (stated: StatedConfiguration) => Promise<Result<number, MastvalveError>>;
	/** The newest configuration; an error when that can't be told for sure. */
	readConfiguration: () => Promise<Result<StatedConfiguration | undefined, MastvalveError>>;
	/** Takes a heartbeat of an endpoint. */
	report: (report: EndpointReport) => Promise<Result<true, MastvalveError>>;
	/** An endpoint leaves for good. */
	leave: (id: string) => Promise<Result<true, MastvalveError>>;
};
