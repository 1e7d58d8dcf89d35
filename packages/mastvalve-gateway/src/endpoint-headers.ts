/**
 * The headers that an endpoint gets with a request: the caller's own, but for those that are not a caller's to set, and
 * what the entry adds.
 */

import {FieldOwner, type Dialect, type EndpointHeaders} from './dialect.js';
import {dropConnectionHeaders} from './requests/reply.js';

/** A flat list of names and values. Fields that the dialect doesn't name are the caller's. */
export const createEndpointHeaders = (dialect: Dialect, rawHeaders: readonly string[], added: EndpointHeaders): string[] => {
	const passed = dropConnectionHeaders(rawHeaders);
	const isCallers = (name: string): boolean => (dialect.fieldOwners.get(name.toLowerCase()) ?? FieldOwner.Caller) === FieldOwner.Caller;
	return [
		...passed.filter((_, index) => isCallers(passed[index - (index % 2)] ?? '')),
		...dialect.writeEndpoint(added),
	];
};
