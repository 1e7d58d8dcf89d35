/**
 * The headers that an endpoint gets with a request: the caller's own, but for those that are not a caller's to set, and
 * what the entry adds.
 */

import {FieldOwner, type Dialect, type EndpointHeaders} from './dialect.js';
import {removeHopByHopHeaders} from './requests/reply.js';

/** Whether keys are asked for, so that credentials are secrets between callers and entries. */
export type CredentialUse = {needsKeys: boolean};

/** A flat list of names and values. Fields that the dialect doesn't name are the caller's. */
export const createEndpointHeaders = (dialect: Dialect, rawHeaders: readonly string[], added: EndpointHeaders, {needsKeys}: CredentialUse): string[] => {
	const passed = removeHopByHopHeaders(rawHeaders);
	const isPassed = (name: string): boolean => {
		const owner = dialect.fieldOwners.get(name.toLowerCase()) ?? FieldOwner.Caller;
		return owner === FieldOwner.Caller || (owner === FieldOwner.Credentials && !needsKeys);
	};

	return [
		...passed.filter((_, index) => isPassed(passed[index - (index % 2)] ?? '')),
		...dialect.writeEndpoint(added),
	];
};
