/**
 * Logs and counts the connections of a program's server that fail, or whose bytes can't be read as requests: no line of a request tells of them.
 */

import type {ConnectionFault} from 'mastvalve-utils';
import {Counter} from 'prom-client';
import {Header} from './headers.js';
import type {ProgramContext} from './program-context.js';

/** Makes what a server calls for each such connection; a program has one. */
export const createFaultReporter = ({logger, registry}: Pick<ProgramContext, 'logger' | 'registry'>): ((fault: ConnectionFault) => void) => {
	const faults = new Counter({
		name: 'mastvalve_connection_errors_total',
		help: 'Connections of callers that failed, by the error and by whether requests were unanswered there',
		labelNames: ['code', 'requests'],
		registers: [registry],
	});
	return ({code, reason, status, unanswered}) => {
		faults.inc({code, requests: unanswered.length > 0 ? 'unanswered' : 'none'});
		logger.warn({
			code, reason, status, requests: unanswered.map(({headers}) => headers[Header.RequestId]),
		}, 'a connection of a caller failed, or sent what is no request');
	};
};
