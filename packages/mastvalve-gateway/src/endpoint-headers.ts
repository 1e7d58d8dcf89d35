/**
 * Headers of a request to an endpoint: those of the caller, without fields that a caller may not set, and those that the entry adds.
 */

import {FieldOwner, type Dialect, type EndpointHeaders} from './dialect.js';
import {removeHopByHopHeaders} from './requests/reply.js';

/** Whether keys are required, in which case credentials are secrets between callers and entries. */
export type CredentialUse = {needsKeys: boolean};

/** Creates the headers as a flat list of names and values. Fields that the dialect doesn't define belong to the caller. */
export const createEndpointHeaders = (dialect: Dialect, rawHeaders: readonly string[], added: EndpointHeaders, {needsKeys}: CredentialUse): string[] => {
	const callerHeaders = removeHopByHopHeaders(rawHeaders);
	const isForwarded = (name: string): boolean => {
		const owner = dialect.fieldOwners.get(name.toLowerCase()) ?? FieldOwner.Caller;
		return owner === FieldOwner.Caller || (owner === FieldOwner.Credentials && !needsKeys);
	};

	return [
		...callerHeaders.filter((_, index) => isForwarded(callerHeaders[index - (index % 2)] ?? '')),
		...dialect.buildEndpointHeaders(added),
	];
};
