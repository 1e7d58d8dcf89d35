/**
 * Services declared in intents.
 */

import type {ServiceKind} from './service-kind.js';

/** A service as declared by an operator. */
export type Service = {
	/** Unique name; also the path segment under `/services/`. */
	name: string;
	kind: ServiceKind;
	/** `METHOD /path` patterns of calls that must run at most once; a trailing `*` matches any suffix. */
	notRepeated: string[];
};
