/**
 * A declared service.
 */

import type {ServiceKind} from './service-kind.js';

/** A service as operators declare it in an intent. */
export type Service = {
	/** Unique name, also the path segment under `/services/`. */
	name: string;
	kind: ServiceKind;
	/** `METHOD /path` of calls that must run at most once; a path that ends in `*` covers what begins with it. */
	notRepeated: string[];
};
