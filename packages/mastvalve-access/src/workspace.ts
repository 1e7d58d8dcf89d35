/**
 * Workspaces: groups of callers that share keys, a priority and a limit.
 */

/** Unit of a limit. */
export enum LimitUnit {
	/** Each request counts 1. */
	Requests = 'requests',
	/** A request counts the tokens of its prompt plus its maximum output. */
	Tokens = 'tokens',
}

/** Limit of a workspace over all entries. */
export type WorkspaceLimit = {
	unit: LimitUnit;
	/** Units per second. */
	ratePerSecond: number;
	/** Units above the rate that may be used at once. */
	burst: number;
	/** Cost of a request that declares no tokens, if the unit is tokens. */
	plainTokens: number;
};

/** Keys are represented by their digests only. */
export type Workspace = {
	name: string;
	keyDigests: string[];
	/** 0 is the most urgent; undefined if not configured. */
	priority: number | undefined;
	/** Undefined if the workspace is unlimited. */
	limit: WorkspaceLimit | undefined;
};
