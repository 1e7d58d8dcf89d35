/**
 * A workspace: a group of callers that share keys, a priority and a limit.
 */

/** What a limit counts. */
export enum LimitUnit {
	/** Each request counts 1. */
	Requests = 'requests',
	/** A request counts the tokens of its prompt and the most that it may output. */
	Tokens = 'tokens',
}

/** How much a workspace may ask for, over all entries together. */
export type WorkspaceLimit = {
	unit: LimitUnit;
	/** Units a second. */
	ratePerSecond: number;
	/** Units above the rate that may come at once. */
	burst: number;
	/** What a request counts that tells no tokens, where tokens are counted. */
	plainTokens: number;
};

/** One workspace. Its keys are known by their digests only. */
export type Workspace = {
	name: string;
	keyDigests: string[];
	/** 0 is the most urgent; undefined when operators gave none. */
	priority: number | undefined;
	/** Undefined when it may ask without a limit. */
	limit: WorkspaceLimit | undefined;
};
